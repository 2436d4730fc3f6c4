package ingresshttp

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// sideTimeout bounds a side server's reads and writes.
	sideTimeout = 5 * time.Second
	// sideIdle is how long a connection to one may stay idle.
	sideIdle = 30 * time.Second
)

// Side returns what serves one small call beside the callers' requests, until its
// listener is closed.
func Side(handle fasthttp.RequestHandler) func(net.Listener) error {
	s := &fasthttp.Server{
		Handler: handle, ReadTimeout: sideTimeout, WriteTimeout: sideTimeout, IdleTimeout: sideIdle,
		NoDefaultServerHeader: true, Logger: quiet{},
	}
	return s.Serve
}
