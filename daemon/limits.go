package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/samber/lo"

	"bulrushshed/gossip"
	"bulrushshed/hostlog"
	"bulrushshed/peer"
	"bulrushshed/ratelimit"
)

// errNoPermit is returned for a reply without an answer to the question.
var errNoPermit = errors.New("got a reply without a permit")

// limitHosts provides the entry hosts as those that grant permits.
type limitHosts struct{ d *Daemon }

var _ ratelimit.Hosts = limitHosts{}

// Responsible implements ratelimit.Hosts.
func (l limitHosts) Responsible(replica string, n int) []ratelimit.Host {
	addresses := lo.SliceToMap(l.d.directory.View().Entries, func(h hostlog.Host) (string, string) { return h.Name, h.Peer })
	addresses[l.d.self.Host] = ""
	owners := gossip.Owners(replica, lo.Keys(addresses), n)
	return lo.Map(owners, func(name string, _ int) ratelimit.Host {
		return ratelimit.Host{Name: name, Address: addresses[name], Self: name == l.d.self.Host}
	})
}

// Ask implements ratelimit.Hosts.
func (l limitHosts) Ask(ctx context.Context, address string, q ratelimit.Question) (ratelimit.Permit, error) {
	reply, err := l.d.peerNode.Call(ctx, address, peer.Message{Kind: peer.KindPermit, Permit: &q})
	switch {
	case err != nil:
		return ratelimit.Permit{}, err
	case reply.Permit == nil:
		return ratelimit.Permit{}, errNoPermit
	}
	return *reply.Permit, nil
}

// Size implements ratelimit.Hosts.
func (l limitHosts) Size() int { return max(len(l.d.directory.View().Entries), 1) }

// gossipLimit announces a limit that a replica names, or that it has ended.
func (d *Daemon) gossipLimit(i gossip.Item) { d.gossipTable.Put(i, time.Now()) }
