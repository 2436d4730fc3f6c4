package ingresshttp

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxLingering bounds the connections that linger at a time.
	maxLingering = 64
	// lingerTimeout and lingerBytes bound the lingering of a connection.
	lingerTimeout = time.Second
	lingerBytes   = 256 << 10
)

// closeAfterAnswer closes a connection after the response, without reading the rest of the
// request. Closing it at once would reset it, and the caller might lose the response.
func (s *Server) closeAfterAnswer(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	conn, ok := ctx.Conn().(*watchedConn)
	if !ok {
		return
	}
	conn.mu.Lock()
	conn.lingering = s.lingering
	conn.mu.Unlock()
	// fasthttp would read the rest of the request.
	_ = conn.Conn.SetReadDeadline(past)
}

// Close closes the connection, after lingering if that was requested.
func (c *watchedConn) Close() error {
	c.mu.Lock()
	slots := c.lingering
	c.mu.Unlock()
	if slots == nil {
		return c.Conn.Close()
	}
	c.endRequest()
	select {
	case slots <- struct{}{}:
	default:
		return c.Conn.Close()
	}
	defer func() { <-slots }()
	return errors.Join(c.linger(), c.Conn.Close())
}

// linger ends the sending side and discards what the peer still sends, until it has closed
// the connection.
func (c *watchedConn) linger() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	if err := half.CloseWrite(); err != nil {
		return err
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		return err
	}
	// Whatever ends it, the connection is closed.
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	return nil
}
