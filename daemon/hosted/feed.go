package hosted

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"bulrushshed/feed"
	"bulrushshed/peer"
)

const (
	// fedHosts is how many hosts one that reads the store serves.
	fedHosts = 24
	// feedWait is how long a host that reads the store may wait for news
	// before it answers another one, and feedMargin how much later than that
	// the answer may come.
	feedWait   = 600 * time.Millisecond
	feedMargin = 300 * time.Millisecond
	// feedRest is how long a host reads the store itself behind a failure of
	// the host that it was fed by.
	feedRest = 2 * time.Second
	// feedIdle is how long a connection between hosts is kept behind the last
	// sign of the other end, and feedDial bounds its set-up.
	feedIdle = 2 * time.Second
	feedDial = 500 * time.Millisecond
	// maxFeedBytes bounds one message between hosts.
	maxFeedBytes = 16 << 20
)

// errNoFeed means that a host's answer is of no use.
var errNoFeed = errors.New("the host does not hear of all news")

// feeder passes what hosts read of the store on among them.
type feeder struct {
	host *Host
	log  *feed.Log
	node *peer.Node
	// fedAt is when another host last told its news; 0 if none did.
	fedAt atomic.Int64
}

// newFeeder opens the socket between hosts.
func newFeeder(h *Host, pinned pinned) (*feeder, error) {
	f := &feeder{host: h, log: feed.NewLog(h.group.member, h.fresh.Now)}
	node, err := peer.NewNode(peer.Options{
		Address: h.cfg.PeerAddress, Timeout: feedDial, MaxBytes: maxFeedBytes, Idle: feedIdle,
	}, pinned.tls, f, h.log)
	f.node = node
	return f, err
}

// Handle implements peer.Handler.
func (f *feeder) Handle(ctx context.Context, m peer.Message) peer.Reply {
	if m.Kind != peer.KindFeed || m.Feed == nil {
		f.host.log.Warn("feed: unknown message", "kind", string(m.Kind))
		return peer.Reply{}
	}
	ask := *m.Feed
	ask.Wait = min(ask.Wait, feedWait)
	a := f.log.Answer(ctx, ask)
	return peer.Reply{Feed: &a}
}

// ask asks another host for what it has read of a topic.
func (f *feeder) ask(ctx context.Context, from Peer, a feed.Request) (feed.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedMargin)
	defer cancel()
	r, err := f.node.Call(ctx, from.PeerAddress, peer.Message{Kind: peer.KindFeed, Feed: &a})
	switch {
	case err != nil:
		return feed.Response{}, err
	case r.Feed == nil || r.Feed.Host != from.Name || !r.Feed.Usable(a.Next):
		return feed.Response{}, errNoFeed
	}
	f.fedAt.Store(int64(f.host.fresh.Now()))
	return *r.Feed, nil
}

// fed reports whether another host has told its news lately.
func (f *feeder) fed() bool {
	at := f.fedAt.Load()
	return at > 0 && f.host.fresh.Now()-time.Duration(at) < feedWait+feedMargin
}
