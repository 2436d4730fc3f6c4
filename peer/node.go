package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"bulrushshed/gossip"
	"bulrushshed/ratelimit"
)

// ErrorKind classifies an Error.
type ErrorKind string

// The kinds of Error.
const (
	// ErrorUnreachable means that the request was not sent or, for a serving
	// node, that its socket failed.
	ErrorUnreachable ErrorKind = "unreachable"
	// ErrorNoReply means that no reply was received. The request may have
	// arrived.
	ErrorNoReply ErrorKind = "no_reply"
)

// Error is the only error type of this package.
type Error struct {
	Op    string
	Kind  ErrorKind
	Cause error
}

var _ error = (*Error)(nil)

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("peer %s: %s: %v", e.Op, e.Kind, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Handler answers messages from peers.
type Handler interface {
	Handle(ctx context.Context, m Message) Reply
}

// Options configures a node.
type Options struct {
	// Address is the UDP address that the node listens on.
	Address string
	// DialTimeout limits the time to establish a connection.
	DialTimeout time.Duration
	// MaxBytes limits the size of one message, and MaxReplyBytes that of a reply, if it is
	// more than MaxBytes.
	MaxBytes, MaxReplyBytes int64
	// Relay connects to replicas for other hosts; nil refuses that.
	Relay RelayHandler
	// IdleTimeout is the idle timeout of a connection, or 0 for 90 s.
	IdleTimeout time.Duration
}

const (
	alpn               = "bulrushshed/1"
	defaultIdleTimeout = 90 * time.Second
	maxStreams         = 4096
	// keepAlive is the interval of the keep-alive packets that detect a failed
	// peer.
	keepAlive = 5 * time.Second
)

// Node is one host's end of the protocol. It serves peers and calls them.
type Node struct {
	opts      Options
	tls       *tls.Config
	transport *quic.Transport
	listener  *quic.Listener
	handler   Handler
	log       *slog.Logger

	// bytes counts the message bytes sent and received, without transport
	// overhead.
	bytes atomic.Int64

	// mu guards conns. It is not held during calls.
	mu    sync.Mutex
	conns map[string]*pooledConn
}

// NewNode opens the node's socket. The TLS configuration determines which peers
// are accepted: by its CAs, by VerifyConnection, or by both.
func NewNode(o Options, cfg *tls.Config, h Handler, log *slog.Logger) (*Node, error) {
	if cfg.ClientCAs == nil && cfg.VerifyConnection == nil {
		return nil, &Error{Op: "listen", Kind: ErrorUnreachable, Cause: eris.New("TLS configuration does not verify peers")}
	}
	addr, err := net.ResolveUDPAddr("udp", o.Address)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: ErrorUnreachable, Cause: err}
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: ErrorUnreachable, Cause: err}
	}
	cfg = cfg.Clone()
	cfg.NextProtos = []string{alpn}
	n := &Node{
		opts: o, tls: cfg, handler: h, log: log, conns: map[string]*pooledConn{},
		transport: &quic.Transport{Conn: socket},
	}
	n.listener, err = n.transport.Listen(n.serverTLS(), n.quicConfig())
	if err != nil {
		return nil, &Error{Op: "listen", Kind: ErrorUnreachable, Cause: err}
	}
	return n, nil
}

// serverTLS returns a configuration that logs the addresses of untrusted peers,
// since a failed handshake never reaches Accept. It leaves the verification of
// the certificate chain to VerifyConnection, so that failures of that are
// logged too.
func (n *Node) serverTLS() *tls.Config {
	cfg := n.tls.Clone()
	cfg.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		from := hello.Conn.RemoteAddr().String()
		connCfg := n.tls.Clone()
		connCfg.ClientAuth = tls.RequireAnyClientCert
		verify := connCfg.VerifyConnection
		connCfg.VerifyConnection = func(s tls.ConnectionState) error {
			err := verifyChain(s, n.tls)
			if err == nil && verify != nil {
				err = verify(s)
			}
			if err != nil {
				n.log.Warn("peer: rejected untrusted peer", "from", from, "cause", err.Error())
			}
			return err
		}
		return connCfg, nil
	}
	return cfg
}

func (n *Node) quicConfig() *quic.Config {
	idle := defaultIdleTimeout
	if n.opts.IdleTimeout > 0 {
		idle = n.opts.IdleTimeout
	}
	return &quic.Config{
		MaxIdleTimeout: idle, KeepAlivePeriod: keepAlive, MaxIncomingStreams: maxStreams,
		InitialStreamReceiveWindow: 32 << 10, InitialConnectionReceiveWindow: 64 << 10,
	}
}

// Serve answers peers until ctx ends, and then closes the socket. It sends its
// result on the returned channel.
func (n *Node) Serve(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		done <- n.acceptConns(ctx)
	}()
	return done
}

func (n *Node) acceptConns(ctx context.Context) error {
	var conns sync.WaitGroup
	defer func() {
		// Errors no longer matter here; peers are notified by the
		// CONNECTION_CLOSE frame.
		_ = n.transport.Close()
		_ = n.transport.Conn.Close()
		conns.Wait()
	}()
	for {
		conn, err := n.listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return &Error{Op: "accept", Kind: ErrorUnreachable, Cause: err}
		}
		conns.Go(func() { n.serveConn(ctx, conn) })
	}
}

func (n *Node) serveConn(ctx context.Context, conn *quic.Conn) {
	var streams sync.WaitGroup
	defer streams.Wait()
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		streams.Go(func() { n.serveStream(ctx, s) })
	}
}

func (n *Node) serveStream(ctx context.Context, s *quic.Stream) {
	// A failure to close is irrelevant if the peer has disconnected.
	defer func() { _ = s.Close() }()
	var first [1]byte
	if _, err := io.ReadFull(s, first[:]); err != nil {
		n.log.Warn("peer: cannot read message, no reply is sent", "cause", err.Error())
		return
	}
	if first[0] == relayMark {
		n.serveRelay(ctx, s)
		return
	}
	var m Message
	if err := n.read(withFirst(first[0], s), n.opts.MaxBytes, &m); err != nil {
		n.log.Warn("peer: cannot read message, no reply is sent", "cause", err.Error())
		return
	}
	if err := n.write(s, n.handler.Handle(ctx, m)); err != nil {
		n.log.Debug("peer: cannot write reply", "cause", err.Error())
	}
}

func (n *Node) read(r io.Reader, limit int64, out any) error {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return err
	}
	n.bytes.Add(int64(len(body)))
	if int64(len(body)) > limit {
		return eris.Errorf("message exceeds %d bytes", limit)
	}
	return cbor.Unmarshal(body, out)
}

// Bytes returns the total message bytes sent and received.
func (n *Node) Bytes() int64 { return n.bytes.Load() }

func (n *Node) write(w io.Writer, in any) error {
	body, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	n.bytes.Add(int64(len(body)))
	_, err = w.Write(body)
	return err
}

var _ gossip.Sender = (*Node)(nil)

// Exchange implements gossip.Sender.
func (n *Node) Exchange(ctx context.Context, address string, x gossip.Exchange) (*gossip.Exchange, error) {
	r, err := n.Call(ctx, address, Message{Kind: KindExchange, Exchange: &x})
	return r.Exchange, err
}

var _ ratelimit.Asker = (*Node)(nil)

// Ask implements ratelimit.Asker.
func (n *Node) Ask(ctx context.Context, address string, q ratelimit.Question) (ratelimit.Permit, error) {
	r, err := n.Call(ctx, address, Message{Kind: KindPermit, Permit: &q})
	switch {
	case err != nil:
		return ratelimit.Permit{}, err
	case r.Permit == nil:
		return ratelimit.Permit{}, &Error{Op: "ask", Kind: ErrorNoReply, Cause: eris.New("got a reply without a permit")}
	}
	return *r.Permit, nil
}

// Call sends a message to the peer at an address and returns its reply.
func (n *Node) Call(ctx context.Context, address string, m Message) (Reply, error) {
	return n.call(ctx, address, m, func() {})
}

// CallPaced is Call for replies that may be large: it fails if no byte of the reply arrives
// for the time of gap.
func (n *Node) CallPaced(ctx context.Context, address string, m Message, gap time.Duration) (Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(gap, cancel)
	defer timer.Stop()
	return n.call(ctx, address, m, func() { timer.Reset(gap) })
}

func (n *Node) call(ctx context.Context, address string, m Message, progress func()) (Reply, error) {
	conn, err := n.conn(ctx, address)
	if err != nil {
		return Reply{}, &Error{Op: "dial", Kind: ErrorUnreachable, Cause: err}
	}
	r, err := n.exchange(ctx, conn, m, progress)
	if isRejection(err) {
		n.forget(address, conn)
	}
	return r, err
}

// exchange sends a message on a connection and returns the reply.
// progress is called whenever bytes of the reply arrive.
func (n *Node) exchange(ctx context.Context, conn *quic.Conn, m Message, progress func()) (Reply, error) {
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return Reply{}, &Error{Op: "open", Kind: ErrorUnreachable, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(0)
		s.CancelWrite(0)
	})
	defer stop()
	if err := n.write(s, m); err != nil {
		return Reply{}, &Error{Op: "write", Kind: ErrorNoReply, Cause: err}
	}
	if err := s.Close(); err != nil {
		return Reply{}, &Error{Op: "write", Kind: ErrorNoReply, Cause: err}
	}
	var r Reply
	if err := n.read(progressReader{s, progress}, max(n.opts.MaxBytes, n.opts.MaxReplyBytes), &r); err != nil {
		return Reply{}, &Error{Op: "read", Kind: ErrorNoReply, Cause: err}
	}
	return r, nil
}

// progressReader reports the arrival of bytes.
type progressReader struct {
	io.Reader
	progress func()
}

// Read reads from the underlying reader.
func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.progress()
	}
	return n, err
}
