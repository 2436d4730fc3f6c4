package peer

import (
	"context"
	"errors"
	"net"

	"github.com/quic-go/quic-go"
)

// connKey identifies an outgoing connection. Relayed connections have one of their own, so
// that those whose bytes are not read do not hold up messages.
type connKey struct {
	address string
	relays  bool
}

// maxStreamWindow bounds the windows of the connection's streams.
func (k connKey) maxStreamWindow() uint64 {
	if k.relays {
		return maxRelayWindow
	}
	return maxMessageWindow
}

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
func (n *Node) forget(key connKey, conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c, ok := n.conns[key]; ok && c.holds(conn) {
		delete(n.conns, key)
	}
}

// conn returns the connection to a peer, establishing it if there is none.
func (n *Node) conn(ctx context.Context, key connKey) (*quic.Conn, error) {
	n.mu.Lock()
	c, ok := n.conns[key]
	if ok && c.closed() {
		ok = false
	}
	if !ok {
		c = &pooledConn{done: make(chan struct{})}
		n.conns[key] = c
	}
	n.mu.Unlock()
	if !ok {
		// The first caller, too, waits no longer than its own context allows.
		go n.dial(c, key)
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

func (n *Node) dial(c *pooledConn, key connKey) {
	defer close(c.done)
	ctx, cancel := context.WithTimeout(context.Background(), n.opts.DialTimeout)
	defer cancel()
	addr, err := net.ResolveUDPAddr("udp", key.address)
	if err != nil {
		c.err = err
		return
	}
	cfg := n.tls.Clone()
	cfg.ServerName = addr.IP.String()
	c.conn, c.err = n.transport.Dial(ctx, addr, cfg, n.quicConfig(key.maxStreamWindow()))
}
