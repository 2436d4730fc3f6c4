package hosted_test

import (
	"context"
	"errors"
	"net"
	"sync"
)

// cut is how the links of a host to replicas fail.
type cut string

const (
	cutNone cut = ""
	// cutSilent lets connections hang, running ones too.
	cutSilent cut = "silent"
	// cutReset resets running connections, and lets new ones hang.
	cutReset cut = "reset"
	// cutRefusing refuses new connections; running ones live on.
	cutRefusing cut = "refusing"
)

// links are the links of one host to replicas.
type links struct {
	mu    sync.Mutex
	cut   cut
	only  map[string]bool
	conns map[*linkConn]bool
	dials int
	// healed is closed when the cut ends.
	healed chan struct{}
}

var errRefused = errors.New("connection refused (simulated cut)")

// set begins a cut of the links to the given addresses, or of all if there are none.
func (l *links) set(c cut, addresses ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = c
	l.only = map[string]bool{}
	for _, a := range addresses {
		l.only[a] = true
	}
	if c == cutNone {
		close(l.healed)
		return
	}
	l.healed = make(chan struct{})
	for conn := range l.conns {
		if c == cutReset && l.cuts(conn.address) {
			_ = conn.Conn.Close()
		}
	}
}

func (l *links) cuts(address string) bool { return len(l.only) == 0 || l.only[address] }

// state returns the cut of the link to an address.
func (l *links) state(address string) (cut, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cuts(address) {
		return cutNone, nil
	}
	return l.cut, l.healed
}

// directCount returns the number of direct connections that were established.
func (l *links) directCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dials
}

// dial opens a connection to an address unless the link is cut.
func (l *links) dial(ctx context.Context, address string) (net.Conn, error) {
	const dialTimeout = 200
	switch state, _ := l.state(address); state {
	case cutSilent, cutReset:
		ctx, cancel := context.WithTimeout(ctx, dialTimeout*1e6)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	case cutRefusing:
		return nil, errRefused
	case cutNone:
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: conn, links: l, address: address, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*linkConn]bool{}
	}
	l.conns[c] = true
	l.dials++
	return c, nil
}

// linkConn is a connection over a link that may be cut while it is open.
type linkConn struct {
	net.Conn
	links   *links
	address string
	once    sync.Once
	closed  chan struct{}
}

func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if state, healed := c.links.state(c.address); state == cutSilent {
		select {
		case <-healed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	return n, err
}

func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
