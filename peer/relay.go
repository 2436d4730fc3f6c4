package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"bulrushshed/http1"
	"bulrushshed/relay"
)

// RelayRequest asks a host to connect to a replica and to copy bytes in both directions.
type RelayRequest struct {
	Address string `cbor:"address"`
	// LifetimeMS is how long the connection may last, in ms.
	LifetimeMS int64 `cbor:"lifetime_ms"`
}

// RelayHandler connects to replicas for other hosts.
type RelayHandler interface {
	// Connect returns a connection to a replica, or a *relay.Error.
	Connect(ctx context.Context, address string) (net.Conn, error)
}

const (
	// relayMark is the first byte of a stream that relays a connection. It is followed by
	// the length of the request in 2 bytes and the request. No message begins with it, as
	// messages are CBOR maps.
	relayMark = 0x00
	// maxRelayRequestBytes limits the request.
	maxRelayRequestBytes = 1 << 10
	// defaultRelayLifetime is how long a connection without a deadline may last.
	defaultRelayLifetime = 90 * time.Second
	// brokenConnection is the error code with which a stream ends if the connection to the
	// replica broke off.
	brokenConnection quic.StreamErrorCode = 1
	relayBufferBytes                      = 4 << 10
)

// relayStatus is the answer to a RelayRequest.
type relayStatus byte

const (
	relayConnected relayStatus = iota + 1
	relayUnreachable
	relayBusy
)

// Relay opens a connection to a replica through the host at an address. The error is a
// *relay.Error if the host answered that it cannot connect.
func (n *Node) Relay(ctx context.Context, host string, r RelayRequest) (net.Conn, error) {
	key := connKey{address: host, relays: true}
	conn, err := n.conn(ctx, key)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: ErrorUnreachable, Cause: err}
	}
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, &Error{Op: "open", Kind: ErrorUnreachable, Cause: err}
	}
	c := &relayedConn{Stream: s, conn: conn}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	status, err := requestRelay(s, r)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err == nil {
		err = status.err()
	}
	if err == nil {
		return c, nil
	}
	_ = c.Close()
	if isRejection(err) {
		n.forget(key, conn)
	}
	return nil, err
}

// requestRelay sends a request and returns the answer.
func requestRelay(s *quic.Stream, r RelayRequest) (relayStatus, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return 0, &Error{Op: "relay", Kind: ErrorUnreachable, Cause: err}
	}
	head := binary.BigEndian.AppendUint16([]byte{relayMark}, uint16(len(body)))
	if _, err := s.Write(append(head, body...)); err != nil {
		return 0, &Error{Op: "relay", Kind: ErrorNoReply, Cause: err}
	}
	var answer [1]byte
	if _, err := io.ReadFull(s, answer[:]); err != nil {
		return 0, &Error{Op: "relay", Kind: ErrorNoReply, Cause: err}
	}
	return relayStatus(answer[0]), nil
}

func (s relayStatus) err() error {
	switch s {
	case relayConnected:
		return nil
	case relayUnreachable:
		return &relay.Error{Op: "ask", Kind: relay.KindUnreachable}
	case relayBusy:
		return &relay.Error{Op: "ask", Kind: relay.KindBusy}
	}
	return &Error{Op: "relay", Kind: ErrorNoReply, Cause: eris.Errorf("got status %d, want 1 to 3", s)}
}

// relayedConn is a connection through another host.
type relayedConn struct {
	*quic.Stream
	conn *quic.Conn
	once sync.Once
}

var _ net.Conn = (*relayedConn)(nil)

// Read reads like a TCP connection: the end is not returned together with the last bytes,
// as readers that need the length of a response would take them for cut off.
func (c *relayedConn) Read(p []byte) (int, error) {
	n, err := c.Stream.Read(p)
	if n > 0 && errors.Is(err, io.EOF) {
		return n, nil
	}
	return n, err
}

// Close ends the connection in both directions.
func (c *relayedConn) Close() error {
	c.once.Do(func() {
		c.CancelRead(0)
		c.CancelWrite(0)
	})
	return nil
}

// LocalAddr returns the address of this host's end of the connection between the hosts.
func (c *relayedConn) LocalAddr() net.Addr { return c.conn.LocalAddr() }

// RemoteAddr returns the address of the relaying host.
func (c *relayedConn) RemoteAddr() net.Addr { return c.conn.RemoteAddr() }

// serveRelay serves a stream that relays a connection, after its first byte.
func (n *Node) serveRelay(ctx context.Context, s *quic.Stream) {
	r, err := readRelayRequest(s)
	if err != nil {
		n.log.Warn("peer: cannot read relay request, connection not relayed", "cause", err.Error())
		s.CancelRead(0)
		s.CancelWrite(0)
		return
	}
	lifetime := time.Duration(r.LifetimeMS) * time.Millisecond
	if lifetime <= 0 || lifetime > defaultRelayLifetime {
		lifetime = defaultRelayLifetime
	}
	ctx, cancel := context.WithTimeout(ctx, lifetime)
	defer cancel()
	conn, status := n.connectFor(ctx, r.Address)
	if _, err := s.Write([]byte{byte(status)}); err != nil || status != relayConnected {
		s.CancelRead(0)
		if conn != nil {
			_ = conn.Close()
		}
		return
	}
	n.pipe(ctx, s, conn)
}

// connectFor connects to a replica for another host.
func (n *Node) connectFor(ctx context.Context, address string) (net.Conn, relayStatus) {
	if n.opts.Relay == nil {
		return nil, relayUnreachable
	}
	conn, err := n.opts.Relay.Connect(ctx, address)
	var e *relay.Error
	switch {
	case err == nil:
		return conn, relayConnected
	case errors.As(err, &e) && e.Kind == relay.KindBusy:
		return nil, relayBusy
	}
	return nil, relayUnreachable
}

func readRelayRequest(s *quic.Stream) (r RelayRequest, err error) {
	var length [2]byte
	if _, err := io.ReadFull(s, length[:]); err != nil {
		return r, err
	}
	size := int(binary.BigEndian.Uint16(length[:]))
	if size > maxRelayRequestBytes {
		return r, eris.Errorf("request has %d bytes, want at most %d", size, maxRelayRequestBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(s, body); err != nil {
		return r, err
	}
	return r, cbor.Unmarshal(body, &r)
}

// pipe copies bytes in both directions until the replica has ended the connection, the
// other host has closed the stream, or ctx ends. The end of the connection is passed on as
// what it was: an orderly end or a break.
func (n *Node) pipe(ctx context.Context, s *quic.Stream, direct net.Conn) {
	conn := http1.NewConn(direct)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	requestEnd := make(chan struct{})
	go func() {
		defer close(requestEnd)
		if _, err := n.copy(conn, s); err != nil {
			// The other host has left, so the replica must stop work.
			_ = conn.Close()
		}
	}()
	_, err := n.copy(s, conn)
	_ = conn.Close()
	if err != nil || ctx.Err() != nil {
		s.CancelWrite(brokenConnection)
	} else if err := s.Close(); err != nil {
		n.log.Debug("peer: cannot end relayed connection", "cause", err.Error())
	}
	s.CancelRead(0)
	<-requestEnd
}

// copy copies bytes through a small buffer and counts them.
func (n *Node) copy(w io.Writer, r io.Reader) (int64, error) {
	// The anonymous structs hide io.WriterTo and io.ReaderFrom, which have buffers of
	// their own.
	copied, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{r}, make([]byte, relayBufferBytes))
	n.bytes.Add(copied)
	return copied, err
}
