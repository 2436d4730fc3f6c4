package peer_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/feed"
	"bulrushshed/keys"
	"bulrushshed/peer"
)

// trustStore holds the pins that all nodes of a test trust.
type trustStore struct {
	mu   sync.Mutex
	pins map[string]bool
}

func (s *trustStore) trusts(pin string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pins[pin]
}

func (s *trustStore) add(pin string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pins[pin] = true
}

// echo answers each request with the offset that it asks for.
type echo struct{}

func (echo) Handle(_ context.Context, m peer.Message) peer.Reply {
	if m.Kind == peer.KindConfig {
		return peer.Reply{Config: make([]byte, m.MaxBytes)}
	}
	return peer.Reply{Feed: &feed.Response{Host: "echo", Page: feed.Page{Next: m.Feed.Next}}}
}

// startNode starts a node at an address. It serves until the test ends.
func startNode(t *testing.T, trust *trustStore, address string) (n *peer.Node, pin string) {
	t.Helper()
	return startRelay(t, trust, address, nil)
}

// startRelay is startNode with a handler that connects to replicas.
func startRelay(t *testing.T, trust *trustStore, address string, r peer.RelayHandler) (n *peer.Node, pin string) {
	t.Helper()
	cfg, pin, err := keys.Pinned("entry", time.Now(), trust.trusts)
	if err != nil {
		t.Fatal(err)
	}
	n, err = peer.NewNode(peer.Options{Address: address, DialTimeout: 5 * time.Second, MaxBytes: 1 << 20, MaxReplyBytes: 8 << 20, Relay: r}, cfg, echo{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := n.Serve(ctx)
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return n, pin
}

func requestOffset(t *testing.T, n *peer.Node, address string) (next int64, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	r, err := n.Call(ctx, address, peer.Message{Kind: peer.KindFeed, Feed: &feed.Request{Next: 7}})
	if err != nil {
		return 0, err
	}
	return r.Feed.Page.Next, nil
}

// Without a CA, a host must answer only peers whose pins it trusts, and must
// accept a peer whose pin is added later.
func TestPinnedNodeAnswersTrustedPeersOnly(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	trust := &trustStore{pins: map[string]bool{}}
	const address = "127.0.9.1:7340"
	_, serverPin := startNode(t, trust, address)
	client, clientPin := startNode(t, trust, "127.0.9.2:7340")
	trust.add(serverPin)
	_, err := requestOffset(t, client, address)
	var e *peer.Error
	is.True(errors.As(err, &e))
	trust.add(clientPin)
	next, err := requestOffset(t, client, address)
	is.NoErr(err)
	is.Equal(next, int64(7))
}

// A configuration that verifies no peer must be rejected.
func TestNewNodeRequiresPeerVerification(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cfg, _, err := keys.Pinned("entry", time.Now(), func(string) bool { return true })
	is.NoErr(err)
	cfg.VerifyConnection = nil
	_, err = peer.NewNode(peer.Options{Address: "127.0.9.3:7340"}, cfg, echo{}, slog.New(slog.DiscardHandler))
	is.True(err != nil)
}

// The bound of messages that any peer may send must not be that of the configuration, which
// a host has asked for.
func TestReplyMayExceedBoundOfMessages(t *testing.T) {
	t.Parallel()
	trust := &trustStore{pins: map[string]bool{}}
	const address = "127.0.9.5:7340"
	_, serverPin := startNode(t, trust, address)
	client, clientPin := startNode(t, trust, "127.0.9.6:7340")
	trust.add(serverPin)
	trust.add(clientPin)
	for _, c := range []struct {
		bytes int
		ok    bool
	}{{6 << 20, true}, {9 << 20, false}} {
		is := is.New(t)
		r, err := client.CallPaced(t.Context(), address, peer.Message{Kind: peer.KindConfig, MaxBytes: c.bytes}, 10*time.Second)
		is.Equal(err == nil, c.ok)
		if c.ok {
			is.Equal(len(r.Config), c.bytes)
		}
	}
}
