package ingresshttp

import (
	"cmp"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushshed/forward"
	"bulrushshed/ingress"
	"bulrushshed/intake"
)

const (
	// writeTimeout limits how long a caller may take to accept more bytes of a response.
	writeTimeout   = 30 * time.Second
	maxHeaderBytes = 32 << 10
	// defaultRequestMemory is the capacity, in bytes, of the default ledger.
	defaultRequestMemory = 64 << 20
)

// defaultBodyPace is the lowest rate of bodies if the options name none.
var defaultBodyPace = intake.Pace{Grace: 20 * time.Second, BytesPerSecond: 16 << 10}

// Forwarder serves requests. ctx is cancelled when the caller disconnects.
type Forwarder interface {
	Do(ctx context.Context, req *forward.Request) *forward.Response
}

// Options are the settings of a server.
type Options struct {
	// DecodeHeader decodes the caller's parameters from the header of a request.
	// The server then sets the method, host, target, header fields, body and time of
	// arrival.
	DecodeHeader func(h *fasthttp.RequestHeader) forward.Request
	// Screen returns the response to a request that is rejected by its header alone, before
	// its body is read, or nil. It may be nil.
	Screen func(req *forward.Request) *forward.Response
	// IsForwarded reports whether a header field is forwarded to replicas.
	IsForwarded func(name string) bool
	// Stopping reports whether the host is stopping. If so, connections are
	// closed after each response.
	Stopping func() bool
	// Ledger bounds the memory of requests. If it is nil, a ledger with
	// defaultRequestMemory is used.
	Ledger *intake.Ledger
	// BodyPace is the lowest rate of bodies. If it is zero, defaultBodyPace is used.
	BodyPace intake.Pace
	// CountRefusal counts a refused request by its cause. It may be nil.
	CountRefusal func(cause string)
	// Limits returns the limits of the newest configuration. It may be nil, in which case
	// the defaults apply.
	Limits func() ingress.Limits
	// HeaderBytes is the size of the read buffer of a connection, which bounds the header of
	// a request; 0 means maxHeaderBytes.
	HeaderBytes int
	// Connections bounds the connections.
	Connections ConnectionOptions
	Log         *slog.Logger
}

// Server is the HTTP server for callers.
type Server struct {
	baseCtx   context.Context
	opts      Options
	forwarder Forwarder
	// handler and writeRefusal are set if the server has a handler in place of a forwarder.
	handler      fasthttp.RequestHandler
	writeRefusal func(ctx *fasthttp.RequestCtx, r Refusal)
	http         *fasthttp.Server
	conns        *connections
	// active counts the connections with a request that is being read or answered.
	active     atomic.Int64
	logLimiter intake.LogLimiter
	// rejections has a *rejection for each *fasthttp.RequestHeader that was rejected before
	// the first byte of its body. The handlers of fasthttp take them.
	rejections sync.Map
	// lingering has an element for each connection that lingers.
	lingering chan struct{}
}

// NewServer returns a server. Cancelling ctx cancels the requests being served.
func NewServer(ctx context.Context, opts Options, next Forwarder) *Server {
	opts.Ledger = cmp.Or(opts.Ledger, intake.NewLedger(defaultRequestMemory))
	opts.BodyPace = cmp.Or(opts.BodyPace, defaultBodyPace)
	opts.HeaderBytes = cmp.Or(opts.HeaderBytes, maxHeaderBytes)
	opts.Limits = limitsOrDefault(opts.Limits)
	s := &Server{
		baseCtx: ctx, opts: opts, forwarder: next, lingering: make(chan struct{}, maxLingering),
		conns: newConnections(opts.Connections, &deadlines{limits: opts.Limits, writeTimeout: writeTimeout}),
	}
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.handleError, HeaderReceived: s.screenHeader, ExpectHandler: s.decideExpectation,
		ConnState: s.trackState, ReadBufferSize: opts.HeaderBytes,
		MaxRequestBodySize: prefetchBytes, StreamRequestBody: true, ReduceMemoryUsage: true,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisablePreParseMultipartForm: true, Logger: discardLogger{},
	}
	return s
}

// discardLogger discards fasthttp's log lines. They report only connections that the
// peer has aborted; the forwarder logs the outcome of a caller's request.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Active returns the number of requests that are being read or answered. A request counts
// until its response has been passed to the network.
func (s *Server) Active() int64 { return s.active.Load() }

// trackState counts a connection as active from the first byte of a request to the end
// of its response.
func (s *Server) trackState(c net.Conn, state fasthttp.ConnState) {
	conn, ok := c.(*watchedConn)
	if !ok {
		return
	}
	conn.trackPhase(state)
	active := state == fasthttp.StateActive
	if conn.active.Swap(active) == active {
		return
	}
	if active {
		s.active.Add(1)
		s.beginRequest(conn)
		return
	}
	s.active.Add(-1)
	conn.endRequest()
}

// Serve accepts connections until the listener is closed. Transient errors do not end it.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(s.conns.listen(ln, s.opts.Log))
}

// Connections returns the number of connections.
func (s *Server) Connections() int { return s.conns.table.Len() }

// CloseIdle closes some idle connections, for other parts of the host that need
// descriptors.
func (s *Server) CloseIdle() { s.conns.closeIdle() }

// headerErrorPrefix begins fasthttp's errors of reading a header, unlike those of a body.
const headerErrorPrefix = "error when reading request headers"

// handleError responds to a request that cannot be parsed.
func (s *Server) handleError(ctx *fasthttp.RequestCtx, err error) {
	conn, _ := ctx.Conn().(*watchedConn)
	if rejected := s.takeRejection(&ctx.Request.Header); rejected != nil && conn != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		s.reject(ctx, conn, rejected)
		s.closeAfterAnswer(ctx)
		return
	}
	var small *fasthttp.ErrSmallBuffer
	r := newRefusal(causeMalformed, err)
	switch {
	case conn != nil && conn.evicted.Load():
		r = newRefusal(causeMemory, err)
	case errors.As(err, &small):
		r = newRefusal(causeTooLarge, nil)
		r.status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded) && strings.HasPrefix(err.Error(), headerErrorPrefix):
		r = newRefusal(causeHeaderTimeout, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		r = newRefusal(causeSlowBody, err)
	}
	s.refuse(ctx, r)
	s.closeAfterAnswer(ctx)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	conn, ok := ctx.Conn().(*watchedConn)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		ctx.SetConnectionClose()
		return
	}
	if hasAmbiguousFraming(&ctx.Request.Header) {
		s.refuse(ctx, newRefusal(causeMalformed, errAmbiguousFraming))
		s.closeAfterAnswer(ctx)
		return
	}
	if len(ctx.Request.Header.RawHeaders()) > s.opts.Limits().HeaderBytes {
		r := newRefusal(causeTooLarge, nil)
		r.status = fasthttp.StatusRequestHeaderFieldsTooLarge
		s.refuse(ctx, r)
		s.closeAfterAnswer(ctx)
		return
	}
	if s.handler != nil {
		s.serveHandler(ctx, conn)
		return
	}
	req := s.copyHeader(&ctx.Request.Header)
	if !s.receiveBody(ctx, conn, req) {
		return
	}
	req.Arrived = time.Now()
	req.Memory = &conn.memory
	workCtx, cancel := context.WithCancel(s.baseCtx)
	conn.watch(cancel)
	resp := s.forwarder.Do(workCtx, req)
	if !resp.Streaming {
		// Only a stream may send the request again from now on.
		conn.memory.ledger.Return(&conn.memory.entry, cap(req.Body), time.Now())
	}
	s.writeResponse(ctx, conn, resp, func() {
		conn.unwatch()
		cancel()
	})
}

// copyHeader returns a request with a copy of its header, because fasthttp reuses its
// memory once the handler has returned, while a stream continues after that.
func (s *Server) copyHeader(h *fasthttp.RequestHeader) *forward.Request {
	req := s.decodeHeader(h)
	connectionOptions := strings.ToLower(string(h.Peek(fasthttp.HeaderConnection)))
	for k, v := range h.All() {
		name := string(k)
		if isHopByHop(name) || !s.opts.IsForwarded(name) || strings.Contains(connectionOptions, strings.ToLower(name)) {
			continue
		}
		req.Header = append(req.Header, forward.Field{Name: name, Value: string(v)})
	}
	return req
}

// decodeHeader returns a request without the header fields that are forwarded.
func (s *Server) decodeHeader(h *fasthttp.RequestHeader) *forward.Request {
	req := s.opts.DecodeHeader(h)
	req.Method = string(h.Method())
	req.Host = string(h.Host())
	req.Target = string(h.RequestURI())
	req.Arrived = time.Now()
	return &req
}

// writeResponse writes a response. It calls release once the forwarder's body has been
// read, which for a stream is after the handler has returned.
func (s *Server) writeResponse(ctx *fasthttp.RequestCtx, conn *watchedConn, resp *forward.Response, release func()) {
	ctx.SetStatusCode(resp.Status)
	for _, f := range resp.Header {
		if !isHopByHop(f.Name) {
			ctx.Response.Header.Add(f.Name, f.Value)
		}
	}
	if resp.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, formatSeconds(resp.RetryAfter))
	}
	if s.opts.Stopping() {
		ctx.SetConnectionClose()
	}
	if resp.Streaming {
		ctx.Response.ImmediateHeaderFlush = true
		ctx.SetBodyStream(newStreamBody(resp.Body, &conn.memory, release), -1)
		return
	}
	defer release()
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		s.opts.Log.Warn("ingress: reading the response body failed, closing the connection", "cause", err.Error())
		// The status and the header fields belong to an answer that is not whole.
		ctx.Response.Reset()
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		ctx.SetConnectionClose()
		return
	}
	conn.memory.hold(len(body))
	ctx.Response.SetBodyRaw(body)
}

// isHopByHop reports whether a header field applies to a single connection and must
// not be forwarded.
func isHopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
		"content-length", "expect", "host":
		return true
	}
	return false
}
