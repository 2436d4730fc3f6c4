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
	// maxFollowers is the largest number of followers of one source.
	maxFollowers = 24
	// feedPollTimeout is how long a source may hold a follower's request until
	// there are changes, and feedResponseMargin how much longer the follower waits
	// for the response.
	feedPollTimeout    = 600 * time.Millisecond
	feedResponseMargin = 300 * time.Millisecond
	// sourceCooldown is how long a host reads the store itself after its source
	// has failed.
	sourceCooldown = 2 * time.Second
	// peerIdleTimeout is how long an idle connection between hosts is kept, and
	// peerDialTimeout bounds its setup.
	peerIdleTimeout = 2 * time.Second
	peerDialTimeout = 500 * time.Millisecond
	// maxPeerMessageBytes bounds one message between hosts, and configReplyOverhead is the
	// most that the reply with a configuration has beyond it.
	maxPeerMessageBytes = 16 << 20
	// maxPeerMemory bounds the memory of the messages from other hosts, which are small;
	// only answers have a configuration.
	maxPeerMemory       = 8 << 20
	configReplyOverhead = 1 << 10
)

// errUnusableResponse is returned for a reply that contains no feed response,
// or one that is from another incarnation of the host or not usable for the
// requested offset.
var errUnusableResponse = errors.New("got no feed response, or one from another incarnation of the host or not usable for the requested offset")

// feedRelay passes on to followers what this host has read from the store. On a
// follower, it polls the source for what the source has read.
type feedRelay struct {
	host *Host
	log  *feed.Log
	node *peer.Node
	// lastResponse is when the source last sent a usable response, by the clock
	// of Host.freshness, or 0 if it never did.
	lastResponse atomic.Int64
}

// newFeedRelay opens the socket for connections between hosts.
func newFeedRelay(h *Host, identity peerIdentity) (*feedRelay, error) {
	r := &feedRelay{host: h, log: feed.NewLog(h.group.memberName, h.freshness.Now)}
	node, err := peer.NewNode(peer.Options{
		Address: h.cfg.PeerAddress, DialTimeout: peerDialTimeout, MaxBytes: maxPeerMessageBytes, Memory: maxPeerMemory, IdleTimeout: peerIdleTimeout,
		MaxReplyBytes: int64(maxRecordBytes(h.cfg)) + configReplyOverhead, Relay: h.connector,
	}, identity.tls, r, h.log)
	r.node = node
	return r, err
}

// Handle implements peer.Handler.
func (r *feedRelay) Handle(ctx context.Context, m peer.Message) peer.Reply {
	switch {
	case m.Kind == peer.KindExchange && m.Exchange != nil:
		return peer.Reply{Exchange: r.host.findings.exchanger().Answer(ctx, *m.Exchange, "")}
	case m.Kind == peer.KindPermit && m.Permit != nil:
		permit := r.host.limiter.Answer(*m.Permit, time.Now())
		return peer.Reply{Permit: &permit}
	case m.Kind == peer.KindBorrow && m.Borrow != nil:
		loan := r.host.retries.Lend(*m.Borrow)
		return peer.Reply{Loan: &loan}
	case m.Kind == peer.KindUsage && len(m.Usage) > 0:
		r.host.usage.receive(m.Usage)
		return peer.Reply{Usage: true}
	case m.Kind == peer.KindConfig:
		return r.host.configReply(m.MaxBytes)
	case m.Kind == peer.KindFeed && m.Feed != nil:
		req := *m.Feed
		req.Wait = min(req.Wait, feedPollTimeout)
		resp := r.log.Answer(ctx, req)
		resp.Settled = resp.Direct && r.host.era.settled()
		return peer.Reply{Feed: &resp}
	}
	r.host.log.Warn("feed: message of unknown kind, sending an empty reply", "kind", string(m.Kind))
	return peer.Reply{}
}

// poll requests from another host the changes of a topic that it has read.
func (r *feedRelay) poll(ctx context.Context, from Peer, req feed.Request) (feed.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, feedPollTimeout+feedResponseMargin)
	defer cancel()
	reply, err := r.node.Call(ctx, from.PeerAddress, peer.Message{Kind: peer.KindFeed, Feed: &req})
	switch {
	case err != nil:
		return feed.Response{}, err
	case reply.Feed == nil || reply.Feed.Host != from.Name || !reply.Feed.Usable(feed.Position{Era: req.Era, Offset: req.Next}):
		return feed.Response{}, errUnusableResponse
	}
	r.lastResponse.Store(int64(r.host.freshness.Now()))
	return *reply.Feed, nil
}

// hasRecentResponse reports whether the source has recently sent a usable
// response.
func (r *feedRelay) hasRecentResponse() bool {
	at := r.lastResponse.Load()
	return at > 0 && r.host.freshness.Now()-time.Duration(at) < feedPollTimeout+feedResponseMargin
}
