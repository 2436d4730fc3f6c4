package ingresshttp

import (
	"log/slog"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushshed/accept"
)

const (
	// auxiliaryTimeout limits reading a request and writing a response.
	auxiliaryTimeout = 5 * time.Second
	// auxiliaryIdleTimeout is the time after which an idle connection is closed.
	auxiliaryIdleTimeout = 30 * time.Second
)

// ServeAuxiliary serves the HTTP requests of one of the host's other listeners, such as
// that for metrics, until the listener is closed. Transient errors do not end it.
func ServeAuxiliary(ln net.Listener, log *slog.Logger, handle fasthttp.RequestHandler) error {
	s := &fasthttp.Server{
		Handler: handle, ReadTimeout: auxiliaryTimeout, WriteTimeout: auxiliaryTimeout, IdleTimeout: auxiliaryIdleTimeout,
		NoDefaultServerHeader: true, Logger: discardLogger{},
	}
	return s.Serve(accept.NewListener(ln, accept.Options{Log: log}))
}
