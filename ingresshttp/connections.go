package ingresshttp

import (
	"log/slog"
	"net"
	"net/netip"
	"time"

	"bulrushshed/accept"
	"bulrushshed/intake"
)

// relievedConnections is how many idle connections a server closes when no descriptor is
// left. Other parts of the host may need some of them at the same time.
const relievedConnections = 16

// ConnectionOptions bound the connections of a server.
type ConnectionOptions struct {
	intake.ConnectionOptions
	// Closed is called for each connection that is closed for a cause other than its
	// client. It may be nil.
	Closed func(cause intake.Cause, address string)
	// Exhausted is called when no descriptor is left for a connection, after the server has
	// closed idle connections of its own. It may be nil.
	Exhausted func()
}

// ClosureCounter counts connections that are closed for a cause.
type ClosureCounter interface {
	ConnectionClosed(cause string)
}

// ReportClosed returns a function for ConnectionOptions.Closed that counts and logs.
func ReportClosed(counter ClosureCounter, log *slog.Logger) func(cause intake.Cause, address string) {
	var limiter intake.LogLimiter
	return func(cause intake.Cause, address string) {
		counter.ConnectionClosed(string(cause))
		if omitted, ok := limiter.Allow(string(cause), time.Now()); ok {
			log.Info("ingress: connection closed", "cause", string(cause), "address", address, "omitted", omitted)
		}
	}
}

// connections tracks the connections of a server, and closes some at the bound.
type connections struct {
	opts      ConnectionOptions
	table     *intake.Connections[*watchedConn]
	deadlines *deadlines
}

func newConnections(opts ConnectionOptions, d *deadlines) *connections {
	return &connections{opts: opts, table: intake.NewConnections[*watchedConn](opts.ConnectionOptions), deadlines: d}
}

// listen returns a listener for the server. It continues after transient errors, and
// accepts connections within the bounds.
func (s *connections) listen(ln net.Listener, log *slog.Logger) net.Listener {
	return listener{accept.NewListener(ln, accept.Options{Exhausted: s.relieve, Log: log}), s}
}

// relieve closes idle connections, because no descriptor is left.
func (s *connections) relieve() {
	s.closeIdle()
	if s.opts.Exhausted != nil {
		s.opts.Exhausted()
	}
}

// closeIdle closes some idle connections, because no descriptor is left.
func (s *connections) closeIdle() {
	for _, c := range s.table.EvictIdle(relievedConnections) {
		s.close(c, intake.CauseDescriptors)
	}
}

// admit returns an accepted connection that waits for the first byte of a request, or
// false if it was closed at the bound.
func (s *connections) admit(conn net.Conn) (*watchedConn, bool) {
	c := &watchedConn{Conn: conn, server: s}
	evicted, admitted := s.table.Admit(c, peerAddress(conn), time.Now())
	for _, e := range evicted {
		s.close(e, intake.CauseConnections)
	}
	if !admitted {
		s.close(c, intake.CauseConnections)
		return nil, false
	}
	c.awaitRequest()
	return c, true
}

// close closes a connection that is not in the table any more. The goroutine that serves
// it notices at its next read or write.
func (s *connections) close(c *watchedConn, cause intake.Cause) {
	_ = c.Conn.Close()
	s.closed(c, cause)
}

// closed reports that a connection is closed for a cause.
func (s *connections) closed(c *watchedConn, cause intake.Cause) {
	if s.opts.Closed != nil {
		s.opts.Closed(cause, c.RemoteAddr().String())
	}
}

// peerAddress returns the IP address of the peer, or the zero address if it has none.
func peerAddress(conn net.Conn) netip.Addr {
	if a, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}

// listener accepts connections that keep deadlines and detect when the peer disconnects
// while its request is served.
type listener struct {
	net.Listener
	server *connections
}

// Accept waits for the next connection that is within the bounds and returns it.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.server.admit(conn); ok {
			return c, nil
		}
	}
}
