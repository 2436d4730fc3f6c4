package ingresshttp

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushshed/forward"
)

// streamBytes is the memory that a handler's streaming response holds: the buffers between
// the goroutine that writes it and the connection.
const streamBytes = 8 << 10

// Refusal is how a server refuses a request that was not read completely.
type Refusal struct {
	// Status is 400, 408, 413, 431 or 503.
	Status int
	// Cause is the word for it in metrics.
	Cause string
	// RetryAfter is the time after which the caller may return, or 0.
	RetryAfter time.Duration
}

// NewHandlerServer returns a server whose requests are served by a handler of fasthttp in
// place of a Forwarder, with their bodies, which are only valid while their requests are
// served. refuse writes the answer to a refused request. The options DecodeHeader, Screen
// and IsForwarded do not apply.
func NewHandlerServer(
	ctx context.Context, opts Options, handler fasthttp.RequestHandler, refuse func(ctx *fasthttp.RequestCtx, r Refusal),
) *Server {
	opts.Screen = nil
	s := NewServer(ctx, opts, nil)
	s.handler, s.writeRefusal = handler, refuse
	return s
}

// serveHandler reads the body of a request and calls the handler.
func (s *Server) serveHandler(ctx *fasthttp.RequestCtx, conn *watchedConn) {
	var req forward.Request
	if !s.receiveBody(ctx, conn, &req) {
		return
	}
	if !conn.server.table.Serve(conn) {
		// The connection was closed at the bound, and the request must not run.
		ctx.SetConnectionClose()
		return
	}
	ctx.Request.SetBodyRaw(req.Body)
	s.handler(ctx)
	if s.opts.Stopping() {
		ctx.SetConnectionClose()
	}
	if ctx.Response.IsBodyStream() {
		conn.memory.hold(streamBytes)
		return
	}
	conn.memory.ledger.Return(&conn.memory.entry, cap(req.Body), time.Now())
	conn.memory.hold(len(ctx.Response.Body()))
}

// Reserve reserves n more bytes for a request that a handler serves, such as those of a
// decompressed body. It returns false if there is no memory for them.
func Reserve(ctx *fasthttp.RequestCtx, n int) bool {
	conn, ok := ctx.Conn().(*watchedConn)
	if !ok {
		return true
	}
	_, ok = conn.memory.reserve(n)
	return ok
}

// retryDelay returns the time after which a caller may return that was refused with the
// given status, or 0.
func retryDelay(status int) time.Duration {
	if status != fasthttp.StatusServiceUnavailable {
		return 0
	}
	return minMemoryRetryAfter + rand.N(maxMemoryRetryAfter-minMemoryRetryAfter)
}
