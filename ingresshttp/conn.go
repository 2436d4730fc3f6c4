package ingresshttp

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Listener accepts connections that detect when the peer disconnects while its
// request is served.
type Listener struct{ net.Listener }

// Accept waits for the next connection and returns it.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn}, nil
}

// watchedConn reads one byte ahead while it is watched, to detect a disconnect.
type watchedConn struct {
	net.Conn
	// active is set while the connection has a request that is being read or answered.
	active atomic.Bool
	// memory is the account of the request. evicted is set when the ledger has ended its
	// reading, and writeEvicted when it has ended the writing of the response.
	memory       requestMemory
	evicted      atomic.Bool
	writeEvicted atomic.Bool

	mu sync.Mutex
	// lingering is set if the connection lingers before it is closed.
	lingering chan struct{}
	// readAhead is the byte that was read ahead, if hasReadAhead is set.
	readAhead    [1]byte
	hasReadAhead bool
	// readDone is closed when the pending read returns. It is nil if there is none.
	readDone chan struct{}
}

// Read returns the byte that was read ahead, if any, before reading on. It does not return
// without a byte or an error, with which fasthttp's reader of the first byte panics.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.hasReadAhead && len(p) > 0 {
		p[0] = c.readAhead[0]
		c.hasReadAhead = false
		c.mu.Unlock()
		return 1, nil
	}
	c.mu.Unlock()
	for {
		n, err := c.Conn.Read(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
	}
}

// Write writes to the connection. The timeout applies to each write, as a stream may take
// longer in total.
func (c *watchedConn) Write(p []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	defer c.endWrite()
	return c.Conn.Write(p)
}

// watch calls onClose if the peer closes the connection before unwatch is called. It
// reads one byte for that, so a disconnect after the first byte of a pipelined request
// goes unnoticed.
func (c *watchedConn) watch(onClose func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasReadAhead || c.readDone != nil {
		return
	}
	done := make(chan struct{})
	c.readDone = done
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		n, err := c.Conn.Read(c.readAhead[:])
		if n == 1 {
			c.mu.Lock()
			c.hasReadAhead = true
			c.mu.Unlock()
			return
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			onClose()
		}
	}()
}

// unwatch interrupts the pending read and waits until it has returned.
func (c *watchedConn) unwatch() {
	c.mu.Lock()
	done := c.readDone
	c.readDone = nil
	c.mu.Unlock()
	if done == nil {
		return
	}
	// A deadline in the past ends the read at once.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-done
	_ = c.SetReadDeadline(time.Time{})
}
