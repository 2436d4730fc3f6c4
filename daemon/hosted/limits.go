package hosted

import (
	"context"
	"time"

	"github.com/samber/lo"

	"bulrushshed/gossip"
	"bulrushshed/ratelimit"
)

// limitHosts provides the members of the group as the hosts that grant permits. A host
// keeps its address, and so the replicas that it is responsible for, when it restarts.
type limitHosts struct{ host *Host }

var _ ratelimit.Hosts = limitHosts{}

// Responsible implements ratelimit.Hosts.
func (l limitHosts) Responsible(replica string, n int) []ratelimit.Host {
	members := lo.SliceToMap(l.host.group.members(), func(p Peer) (string, Peer) { return p.Address, p })
	if len(members) == 0 {
		return []ratelimit.Host{{Name: l.host.cfg.CallerAddress, Self: true}}
	}
	owners := gossip.Owners(replica, lo.Keys(members), n)
	return lo.Map(owners, func(address string, _ int) ratelimit.Host {
		return ratelimit.Host{Name: address, Address: members[address].PeerAddress, Self: address == l.host.cfg.CallerAddress}
	})
}

// Ask implements ratelimit.Hosts.
func (l limitHosts) Ask(ctx context.Context, address string, q ratelimit.Question) (ratelimit.Permit, error) {
	return l.host.feed.node.Ask(ctx, address, q)
}

// Size implements ratelimit.Hosts.
func (l limitHosts) Size() int { return l.host.group.size() }

// publishItem announces the state of a replica to the other hosts.
func (h *Host) publishItem(i gossip.Item) {
	h.findings.table.Put(i, time.Now())
	h.findings.signal()
}
