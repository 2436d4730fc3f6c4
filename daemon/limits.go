package daemon

import (
	"context"
	"time"

	"github.com/samber/lo"

	"bulrushshed/gossip"
	"bulrushshed/hostlog"
	"bulrushshed/ratelimit"
)

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
	return l.d.peerNode.Ask(ctx, address, q)
}

// Size implements ratelimit.Hosts.
func (l limitHosts) Size() int { return max(len(l.d.directory.View().Entries), 1) }

// gossipLimit announces a limit that a replica names, or that it has ended.
func (d *Daemon) gossipLimit(i gossip.Item) { d.gossipTable.Put(i, time.Now()) }
