package ingresshttp

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushshed/ingress"
)

// phase is what a connection reads next.
type phase int8

const (
	// phaseIdle is the time before the first byte of a request.
	phaseIdle phase = iota
	// phaseHeader is the time from there to the end of the header.
	phaseHeader
	// phaseRequest lasts from the end of the header to the end of the response.
	phaseRequest
)

// deadlines sets the read deadlines of a server's connections. fasthttp's own timeouts are
// off: they do not distinguish a connection that sends nothing from one that does not
// complete its header, and cannot follow the configuration.
type deadlines struct {
	limits func() ingress.Limits
	// bodyTimeout bounds reading what follows the header, unless the server reads the body
	// itself.
	bodyTimeout time.Duration
	// writeTimeout bounds how long a client may take to accept more bytes of a response.
	writeTimeout time.Duration
}

// limitsOrDefault returns the source of limits, or one of the defaults if there is none.
func limitsOrDefault(limits func() ingress.Limits) func() ingress.Limits {
	if limits == nil {
		return ingress.DefaultLimits
	}
	return limits
}

// headerReceived makes fasthttp set a read deadline at the end of each header, by which the
// connection learns of it.
func (d *deadlines) headerReceived(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{ReadTimeout: d.bodyTimeout, MaxRequestBodySize: d.limits().BodyBytes}
}

// awaitRequest starts the time that the connection may be idle. Only the goroutine that
// serves the connection calls it and the other methods that change the phase, and the one
// that accepts connections before that.
func (c *watchedConn) awaitRequest() {
	c.phase = phaseIdle
	// It fails only if the connection has ended, which the next read reports.
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.server.deadlines.limits().IdleTimeout))
}

// received records that bytes of a request have been read. It fails if the connection has
// been closed at the bound meanwhile, so that the request is not served.
func (c *watchedConn) received(n int, err error) (int, error) {
	if !c.server.table.Read(c, n, time.Now()) {
		return 0, net.ErrClosed
	}
	c.beginRequest()
	return n, err
}

// beginRequest starts the time for the header, if the connection was idle.
func (c *watchedConn) beginRequest() {
	if c.phase != phaseIdle {
		return
	}
	c.phase = phaseHeader
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.server.deadlines.limits().HeaderTimeout))
}

// SetReadDeadline sets the deadline of reads, unless the request is evicted and its reads
// must end. fasthttp calls it at the end of the header, if HeaderReceived names a timeout;
// the first call in a request therefore ends the time for the header.
func (c *watchedConn) SetReadDeadline(t time.Time) error {
	if c.phase == phaseHeader {
		c.phase = phaseRequest
	}
	err := c.Conn.SetReadDeadline(t)
	if c.evicted.Load() {
		err = c.Conn.SetReadDeadline(past)
	}
	return err
}

// trackPhase follows what fasthttp reports of a connection.
func (c *watchedConn) trackPhase(state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateActive:
		// The first bytes of a pipelined request are in fasthttp's buffer already. The first
		// request of a connection may be reported before any byte of it was read, and begins
		// with that byte.
		if c.answered && c.phase == phaseIdle {
			c.server.table.Read(c, 0, time.Now())
			c.beginRequest()
		}
	case fasthttp.StateIdle:
		c.answered = true
		c.server.table.Idle(c, time.Now())
		c.awaitRequest()
	default:
	}
}
