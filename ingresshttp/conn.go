package ingresshttp

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Listener makes connections whose end is noticed while a request is served.
type Listener struct{ net.Listener }

// Accept returns the next connection.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn}, nil
}

// watchedConn reads one byte ahead while it is watched.
type watchedConn struct {
	net.Conn

	mu sync.Mutex
	// ahead holds the byte that was read ahead, if there is one.
	ahead    [1]byte
	hasAhead bool
	// watching is closed when the read ahead has returned; nil if none runs.
	watching chan struct{}
}

// Read returns what was read ahead first.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.hasAhead && len(p) > 0 {
		p[0] = c.ahead[0]
		c.hasAhead = false
		c.mu.Unlock()
		return 1, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}

// watch calls left if the peer closes the connection before unwatch.
func (c *watchedConn) watch(left func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasAhead || c.watching != nil {
		return
	}
	done := make(chan struct{})
	c.watching = done
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		n, err := c.Conn.Read(c.ahead[:])
		if n == 1 {
			c.mu.Lock()
			c.hasAhead = true
			c.mu.Unlock()
			return
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			left()
		}
	}()
}

// unwatch returns when nothing reads ahead any more.
func (c *watchedConn) unwatch() {
	c.mu.Lock()
	done := c.watching
	c.watching = nil
	c.mu.Unlock()
	if done == nil {
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-done
	_ = c.SetReadDeadline(time.Time{})
}
