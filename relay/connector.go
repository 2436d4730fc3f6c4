package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// maxRelayed is the number of connections that a host relays at a time. It bounds what
// other hosts take from this host's own callers.
const maxRelayed = 512

// Connector connects to replicas for other hosts. It is safe for concurrent use.
type Connector struct {
	dialer *Dialer
	// accepts reports whether a replica at an address accepts connections of this host.
	accepts func(address string) bool
	relayed atomic.Int64
	stopped atomic.Bool
}

// NewConnector returns a connector to the replicas for which accepts returns true.
func NewConnector(d *Dialer, accepts func(address string) bool) *Connector {
	return &Connector{dialer: d, accepts: accepts}
}

// Relayed returns the number of connections that are relayed for other hosts now.
func (c *Connector) Relayed() int { return int(c.relayed.Load()) }

// Stop refuses new connections from now on. Those that are relayed go on.
func (c *Connector) Stop() { c.stopped.Store(true) }

// Connect returns a direct connection to a replica, or an *Error that says why there is
// none.
func (c *Connector) Connect(ctx context.Context, address string) (net.Conn, error) {
	if c.stopped.Load() {
		return nil, &Error{Op: "connect", Kind: KindBusy}
	}
	if !c.accepts(address) {
		return nil, &Error{Op: "connect", Kind: KindUnreachable}
	}
	if c.relayed.Add(1) > maxRelayed {
		c.relayed.Add(-1)
		return nil, &Error{Op: "connect", Kind: KindBusy}
	}
	conn, err := c.dialer.DialFor(ctx, address)
	if err != nil {
		c.relayed.Add(-1)
		return nil, err
	}
	return &countedConn{Conn: conn, connector: c}, nil
}

// countedConn is a connection that counts as relayed until it is closed.
type countedConn struct {
	net.Conn
	connector *Connector
	once      sync.Once
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.connector.relayed.Add(-1) })
	return c.Conn.Close()
}
