package peer

import (
	"context"
	"errors"
	"net"

	"github.com/quic-go/quic-go"
)

// pooledConn is a connection to a peer, which may still be being established.
type pooledConn struct {
	// done is closed once conn or err is set.
	done chan struct{}
	conn *quic.Conn
	err  error
}

// isRejection reports whether a call failed because the peer refused the handshake of the
// connection, which was already complete for this host.
func isRejection(err error) bool {
	var e *quic.TransportError
	return errors.As(err, &e) && e.Remote && e.ErrorCode.IsCryptoError()
}

// forget removes a connection that the peer has rejected. Its context may not have ended
// yet, so closed would not tell.
func (n *Node) forget(address string, conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c, ok := n.conns[address]; ok && c.holds(conn) {
		delete(n.conns, address)
	}
}

// conn returns the connection to a peer, establishing it if there is none.
func (n *Node) conn(ctx context.Context, address string) (*quic.Conn, error) {
	n.mu.Lock()
	c, ok := n.conns[address]
	if ok && c.closed() {
		ok = false
	}
	if !ok {
		c = &pooledConn{done: make(chan struct{})}
		n.conns[address] = c
	}
	n.mu.Unlock()
	if !ok {
		n.dial(c, address)
	}
	select {
	case <-c.done:
		return c.conn, c.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// holds reports whether c is established and has the given connection.
func (c *pooledConn) holds(conn *quic.Conn) bool {
	select {
	case <-c.done:
		return c.conn == conn
	default:
		return false
	}
}

// closed reports whether the connection could not be established or has ended.
func (c *pooledConn) closed() bool {
	select {
	case <-c.done:
		return c.err != nil || c.conn.Context().Err() != nil
	default:
		return false
	}
}

func (n *Node) dial(c *pooledConn, address string) {
	defer close(c.done)
	ctx, cancel := context.WithTimeout(context.Background(), n.opts.DialTimeout)
	defer cancel()
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		c.err = err
		return
	}
	cfg := n.tls.Clone()
	cfg.ServerName = addr.IP.String()
	c.conn, c.err = n.transport.Dial(ctx, addr, cfg, n.quicConfig())
}
