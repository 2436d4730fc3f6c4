package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

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
	n.serveMessage(ctx, first[0], s)
}

// serveMessage serves a stream with a message, after its first byte.
func (n *Node) serveMessage(ctx context.Context, first byte, s *quic.Stream) {
	memory := &messageMemory{ledger: n.memory, stream: s}
	defer memory.close()
	var m Message
	body, err := n.readMessage(first, memory)
	if err == nil {
		err = cbor.Unmarshal(body, &m)
	}
	if err != nil {
		n.log.Warn("peer: cannot read message, no reply is sent", "cause", err.Error())
		s.CancelRead(0)
		return
	}
	reply, err := cbor.Marshal(n.handler.Handle(ctx, m))
	if err == nil {
		memory.ledger.SetResponse(&memory.entry, len(reply), time.Now())
		memory.ledger.BeginWrite(&memory.entry, time.Now())
		err = n.writeBytes(s, reply)
	}
	if err != nil {
		n.log.Debug("peer: cannot write reply", "cause", err.Error())
	}
}
