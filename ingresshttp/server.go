package ingresshttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushshed/forward"
)

const (
	// readTimeout limits reading a request.
	readTimeout = 20 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 75 * time.Second
	// writeTimeout limits how long a caller may take to accept more bytes of a response.
	writeTimeout   = 30 * time.Second
	maxHeaderBytes = 32 << 10
	maxBodyBytes   = 8 << 20
)

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
	// IsForwarded reports whether a header field is forwarded to replicas.
	IsForwarded func(name string) bool
	// Stopping reports whether the host is stopping. If so, connections are
	// closed after each response.
	Stopping func() bool
	Log      *slog.Logger
}

// Server is the HTTP server for callers.
type Server struct {
	baseCtx   context.Context
	opts      Options
	forwarder Forwarder
	http      *fasthttp.Server
	// active counts the connections with a request that is being read or answered.
	active atomic.Int64
}

// NewServer returns a server. Cancelling ctx cancels the requests being served.
func NewServer(ctx context.Context, opts Options, next Forwarder) *Server {
	s := &Server{baseCtx: ctx, opts: opts, forwarder: next}
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.handleError,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, ConnState: s.trackState,
		ReadBufferSize: maxHeaderBytes, MaxRequestBodySize: maxBodyBytes,
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
	active := state == fasthttp.StateActive
	if conn.active.Swap(active) == active {
		return
	}
	if active {
		s.active.Add(1)
		return
	}
	s.active.Add(-1)
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(Listener{ln}) }

// handleError responds to a request that cannot be parsed.
func (s *Server) handleError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	s.opts.Log.Info("ingress: malformed request rejected, closing the connection", "cause", err.Error(), "status", status)
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if hasAmbiguousFraming(&ctx.Request.Header) {
		s.opts.Log.Info("ingress: malformed request rejected, closing the connection", "cause", "ambiguous_framing", "status", fasthttp.StatusBadRequest)
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetConnectionClose()
		return
	}
	req := s.copyRequest(ctx)
	workCtx, cancel := context.WithCancel(s.baseCtx)
	release := cancel
	if conn, ok := ctx.Conn().(*watchedConn); ok {
		conn.watch(cancel)
		release = func() {
			conn.unwatch()
			cancel()
		}
	}
	s.writeResponse(ctx, s.forwarder.Do(workCtx, req), release)
}

// copyRequest returns a copy of a request, because fasthttp reuses its memory once
// the handler has returned, while a stream continues after that.
func (s *Server) copyRequest(ctx *fasthttp.RequestCtx) *forward.Request {
	h := &ctx.Request.Header
	req := s.opts.DecodeHeader(h)
	req.Method = string(h.Method())
	req.Host = string(h.Host())
	req.Target = string(h.RequestURI())
	req.Body = bytes.Clone(ctx.PostBody())
	req.Arrived = time.Now()
	connectionOptions := strings.ToLower(string(h.Peek(fasthttp.HeaderConnection)))
	for k, v := range h.All() {
		name := string(k)
		if isHopByHop(name) || !s.opts.IsForwarded(name) || strings.Contains(connectionOptions, strings.ToLower(name)) {
			continue
		}
		req.Header = append(req.Header, forward.Field{Name: name, Value: string(v)})
	}
	return &req
}

// writeResponse writes a response. It calls release once the forwarder's body has been
// read, which for a stream is after the handler has returned.
func (s *Server) writeResponse(ctx *fasthttp.RequestCtx, resp *forward.Response, release func()) {
	ctx.SetStatusCode(resp.Status)
	for _, f := range resp.Header {
		if !isHopByHop(f.Name) {
			ctx.Response.Header.Add(f.Name, f.Value)
		}
	}
	if resp.RetryAfter > 0 {
		seconds := strconv.FormatFloat(resp.RetryAfter.Seconds(), 'f', 3, 64)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, seconds)
	}
	if s.opts.Stopping() {
		ctx.SetConnectionClose()
	}
	if resp.Streaming {
		ctx.Response.ImmediateHeaderFlush = true
		ctx.SetBodyStream(&releaseOnClose{ReadCloser: resp.Body, release: release}, -1)
		return
	}
	defer release()
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		s.opts.Log.Warn("ingress: reading the response body failed, closing the connection", "cause", err.Error())
		ctx.SetConnectionClose()
		return
	}
	ctx.SetBody(body)
}

// releaseOnClose is a streaming response body that ends the context and the watch of
// its request when it is closed.
type releaseOnClose struct {
	io.ReadCloser
	release func()
}

// Close closes the body and then calls release.
func (b *releaseOnClose) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
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
