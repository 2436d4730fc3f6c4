package ingresshttp

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// auxiliaryTimeout limits reading a request and writing a response.
	auxiliaryTimeout = 5 * time.Second
	// auxiliaryIdleTimeout is the time after which an idle connection is closed.
	auxiliaryIdleTimeout = 30 * time.Second
)

// AuxiliaryServer returns a function that serves the HTTP requests of one of the
// host's other listeners, such as that for metrics, until the listener is closed.
func AuxiliaryServer(handle fasthttp.RequestHandler) func(net.Listener) error {
	s := &fasthttp.Server{
		Handler: handle, ReadTimeout: auxiliaryTimeout, WriteTimeout: auxiliaryTimeout, IdleTimeout: auxiliaryIdleTimeout,
		NoDefaultServerHeader: true, Logger: discardLogger{},
	}
	return s.Serve
}
