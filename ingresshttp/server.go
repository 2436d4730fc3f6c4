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
	"time"

	"github.com/valyala/fasthttp"

	"bulrushshed/forward"
)

const (
	// readTimeout bounds the time in which a request is read.
	readTimeout = 20 * time.Second
	// idleTimeout is how long a connection may stay idle.
	idleTimeout = 75 * time.Second
	// writeTimeout bounds the time in which an answer is written.
	writeTimeout = 90 * time.Second
	maxHeader    = 32 << 10
	maxBody      = 8 << 20
)

// Forwarder serves one request; ctx ends when the caller has left.
type Forwarder interface {
	Do(ctx context.Context, req *forward.Request) *forward.Response
}

// Options are the settings of a server.
type Options struct {
	// Read takes the caller's words from the head of a request; header fields
	// and body are filled in by the server.
	Read func(h *fasthttp.RequestHeader) forward.Request
	// Passed reports whether a header field is passed on to replicas.
	Passed func(name string) bool
	// Stopping reports whether callers are to leave.
	Stopping func() bool
	Log      *slog.Logger
}

// Server serves callers.
type Server struct {
	ctx  context.Context
	opts Options
	next Forwarder
	http *fasthttp.Server
}

// NewServer returns a server whose requests end with ctx.
func NewServer(ctx context.Context, opts Options, next Forwarder) *Server {
	s := &Server{ctx: ctx, opts: opts, next: next}
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.fault,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		ReadBufferSize: maxHeader, MaxRequestBodySize: maxBody,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisablePreParseMultipartForm: true, Logger: quiet{},
	}
	return s
}

// quiet drops fasthttp's own lines: each tells of one connection that a caller
// broke off, and the forwarder logs what became of its request.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(Listener{ln}) }

// fault answers a request that can't be read.
func (s *Server) fault(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	s.opts.Log.Info("ingress: rejected", "cause", err.Error(), "status", status)
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if ambiguous(&ctx.Request.Header) {
		s.opts.Log.Info("ingress: rejected", "cause", "ambiguous_framing", "status", fasthttp.StatusBadRequest)
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetConnectionClose()
		return
	}
	req := s.read(ctx)
	work, cancel := context.WithCancel(s.ctx)
	release := cancel
	if conn, ok := ctx.Conn().(*watchedConn); ok {
		conn.watch(cancel)
		release = func() {
			conn.unwatch()
			cancel()
		}
	}
	s.write(ctx, s.next.Do(work, req), release)
}

// read copies a request: fasthttp uses its memory again once the handler has
// returned, and a stream goes on behind that.
func (s *Server) read(ctx *fasthttp.RequestCtx) *forward.Request {
	h := &ctx.Request.Header
	req := s.opts.Read(h)
	req.Method = string(h.Method())
	req.Host = string(h.Host())
	req.Target = string(h.RequestURI())
	req.Body = bytes.Clone(ctx.PostBody())
	req.Arrived = time.Now()
	listed := strings.ToLower(string(h.Peek(fasthttp.HeaderConnection)))
	for k, v := range h.All() {
		name := string(k)
		if hopByHop(name) || !s.opts.Passed(name) || strings.Contains(listed, strings.ToLower(name)) {
			continue
		}
		req.Header = append(req.Header, forward.Field{Name: name, Value: string(v)})
	}
	return &req
}

func (s *Server) write(ctx *fasthttp.RequestCtx, resp *forward.Response, release func()) {
	ctx.SetStatusCode(resp.Status)
	for _, f := range resp.Header {
		if !hopByHop(f.Name) {
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
		ctx.SetBodyStream(&releasedBody{ReadCloser: resp.Body, release: release}, -1)
		return
	}
	defer release()
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		s.opts.Log.Warn("ingress: body lost", "cause", err.Error())
		ctx.SetConnectionClose()
		return
	}
	ctx.SetBody(body)
}

// releasedBody gives its request back when it is closed.
type releasedBody struct {
	io.ReadCloser
	release func()
}

// Close ends the body and the request.
func (b *releasedBody) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
}

// ambiguous reports whether a request gives its length in two ways.
func ambiguous(h *fasthttp.RequestHeader) bool {
	raw := bytes.ToLower(h.RawHeaders())
	return bytes.Contains(raw, []byte("transfer-encoding")) && bytes.Contains(raw, []byte("content-length"))
}

// hopByHop reports whether a header field concerns one connection only.
func hopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
		"content-length", "expect", "host":
		return true
	}
	return false
}
