package ingresshttp

import (
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushshed/ingress"
)

const (
	// auxiliaryTimeout limits reading a request and writing a response.
	auxiliaryTimeout = 5 * time.Second
	// auxiliaryIdleTimeout is the time after which an idle connection is closed.
	auxiliaryIdleTimeout = 30 * time.Second
	// auxiliaryHeaderBytes bounds the header of a request.
	auxiliaryHeaderBytes = 8 << 10
	// auxiliaryBodyBytes bounds what is read of a body before the request is rejected.
	// fasthttp takes zero for its default.
	auxiliaryBodyBytes = 1
)

// AuxiliaryServer serves one of the host's other listeners, such as that for metrics. It
// accepts only GET requests without a body.
type AuxiliaryServer struct {
	http  *fasthttp.Server
	conns *connections
	log   *slog.Logger
}

// NewAuxiliaryServer returns a server whose requests are answered by handle.
func NewAuxiliaryServer(opts ConnectionOptions, log *slog.Logger, handle fasthttp.RequestHandler) *AuxiliaryServer {
	limits := ingress.Limits{
		HeaderBytes: auxiliaryHeaderBytes, BodyBytes: auxiliaryBodyBytes, HeaderTimeout: auxiliaryTimeout, IdleTimeout: auxiliaryIdleTimeout,
	}
	d := &deadlines{limits: func() ingress.Limits { return limits }, bodyTimeout: auxiliaryTimeout, writeTimeout: auxiliaryTimeout}
	return &AuxiliaryServer{
		http: &fasthttp.Server{
			Handler: getOnly(handle), ErrorHandler: rejectAuxiliary, GetOnly: true,
			HeaderReceived: d.headerReceived, ConnState: trackAuxiliary,
			ReadBufferSize: auxiliaryHeaderBytes, ReduceMemoryUsage: true,
			NoDefaultServerHeader: true, Logger: discardLogger{},
		},
		conns: newConnections(opts, d), log: log,
	}
}

// Serve accepts connections until the listener is closed. Transient errors do not end it.
func (s *AuxiliaryServer) Serve(ln net.Listener) error {
	return s.http.Serve(s.conns.listen(ln, s.log))
}

// trackAuxiliary follows what fasthttp reports of a connection.
func trackAuxiliary(c net.Conn, state fasthttp.ConnState) {
	if conn, ok := c.(*watchedConn); ok {
		conn.trackPhase(state)
	}
}

// getOnly rejects what fasthttp lets pass: HEAD, and bodies of GET requests.
func getOnly(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch {
		case !ctx.IsGet():
			rejectAuxiliary(ctx, fasthttp.ErrGetOnly)
		case len(ctx.PostBody()) > 0:
			rejectAuxiliary(ctx, fasthttp.ErrBodyTooLarge)
		default:
			handle(ctx)
		}
	}
}

// rejectAuxiliary answers a request that is not accepted, and closes its connection.
func rejectAuxiliary(ctx *fasthttp.RequestCtx, err error) {
	var tooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrGetOnly):
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		ctx.Response.Header.Set(fasthttp.HeaderAllow, fasthttp.MethodGet)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	case errors.As(err, &tooLarge):
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	default:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	}
	ctx.SetConnectionClose()
}
