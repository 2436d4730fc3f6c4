package http1

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose reads report a break of the connection that a write has found.
// The system reports a break once, to the read or the write that comes first; a read after
// that returns io.EOF, as at an orderly end.
type Conn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	// broken is the error with which the system has broken off a write, or nil.
	broken error
}

// NewConn returns a connection that reads from and writes to conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	var errno syscall.Errno
	if errors.As(err, &errno) {
		c.broken = err
	}
	return n, err
}

// Read reads from the connection. At its end it returns io.EOF only if no write has found the
// connection broken; the writing ends with it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if broken := c.endWriting(); broken != nil {
		return n, &Error{Op: "read", Kind: KindCut, Cause: broken}
	}
	return n, err
}

// endWriting ends the writing, and returns the error with which the system has broken it off,
// or nil.
func (c *Conn) endWriting() error {
	// A write that waits for the peer returns at once.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.broken
}
