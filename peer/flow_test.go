package peer_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/delivery"
	"bulrushshed/peer"
)

// Callers that do not read their streams must hold up neither the messages between two
// hosts nor the other connections that are relayed between them.
func TestUnreadRelayedConnectionsHoldUpNothing(t *testing.T) {
	t.Parallel()
	const unread = 60
	is := is.New(t)
	f := newRelayFixture(t, "127.0.19", tcpRelay{})
	go func() {
		for conn, err := f.replica.Accept(); err == nil; conn, err = f.replica.Accept() {
			go func() { _, _ = io.Copy(conn, endless{}) }()
		}
	}()
	for range unread {
		conn, err := f.connect(t, time.Minute)
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	time.Sleep(300 * time.Millisecond) // the bytes of the replica fill the buffers
	next, err := requestOffset(t, f.client, f.address)
	is.NoErr(err)
	is.Equal(next, int64(7))
	conn, err := f.connect(t, time.Minute)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
	_, err = io.CopyN(io.Discard, conn, 1<<20)
	is.NoErr(err)
}

// endless is a reader without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// holdingHandler holds forwarded calls until release is closed, and counts them.
type holdingHandler struct {
	release chan struct{}

	mu   sync.Mutex
	held int
}

func (h *holdingHandler) Handle(ctx context.Context, m peer.Message) peer.Reply {
	if m.Kind != peer.KindForward {
		return echo{}.Handle(ctx, m)
	}
	h.mu.Lock()
	h.held++
	h.mu.Unlock()
	<-h.release
	return peer.Reply{}
}

// Callers of all hosts together must not make the home of their keys hold more bodies than
// fit into its memory, and must not keep out the small messages between hosts.
func TestForwardedBodiesHoldBoundedMemory(t *testing.T) {
	t.Parallel()
	const memory, bodyBytes, calls = 4 << 20, 300 << 10, 30
	is := is.New(t)
	trust := &trustStore{pins: map[string]bool{}}
	h := &holdingHandler{release: make(chan struct{})}
	const address = "127.0.20.1:7340"
	_, serverPin := startHandler(t, trust, peer.Options{Address: address, Memory: memory}, h)
	client, clientPin := startNode(t, trust, "127.0.20.2:7340")
	trust.add(serverPin)
	trust.add(clientPin)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	results := make(chan error, calls)
	for range calls {
		go func() {
			_, err := client.Call(ctx, address, peer.Message{
				Kind: peer.KindForward, Forward: &peer.Forward{Request: delivery.Request{Body: make([]byte, bodyBytes)}},
			})
			results <- err
		}()
	}
	refused := 0
	for refused < calls-memory/bodyBytes {
		err := <-results
		var e *peer.Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, peer.ErrorNoReply) // the caller's host does not know the outcome
		refused++
	}
	next, err := requestOffset(t, client, address)
	is.NoErr(err)
	is.Equal(next, int64(7))
	close(h.release)
	for range calls - refused {
		<-results
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	is.True(h.held > 0)
	is.True(h.held*bodyBytes <= memory)
}
