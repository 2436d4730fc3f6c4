package daemon

import (
	"context"
	"time"

	"bulrushshed/directory"
	"bulrushshed/hostlog"
	"bulrushshed/loop"
	"bulrushshed/peer"
)

// joinRetryInterval is the time between two attempts to get the state that a
// new host needs.
const joinRetryInterval = 100 * time.Millisecond

// rulesKnown reports whether this host knows the active rules, or knows that
// there are none.
func (d *Daemon) rulesKnown() bool { return d.follower.State().Known }

// join waits until this host knows the rules. The address for callers is opened
// only afterwards, because a host without rules would refuse every request. The
// rules come from the platform's log or from a seed peer, whichever provides them
// first.
func (d *Daemon) join(ctx context.Context) {
	for n := 0; ctx.Err() == nil && !d.rulesKnown(); n++ {
		if seeds := d.cfg.SeedPeers; len(seeds) > 0 {
			d.joinFrom(ctx, seeds[n%len(seeds)])
		}
		loop.SleepContext(ctx, joinRetryInterval)
	}
}

// joinFrom requests the hosts and the rules from a seed peer. If it fails, join
// tries the next one.
func (d *Daemon) joinFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Times.Peer.D())
	defer cancel()
	r, err := d.peerNode.Call(ctx, address, peer.Message{Kind: peer.KindJoin})
	if err != nil || r.Join == nil {
		return
	}
	now := time.Now()
	if len(d.directory.View().Hosts) == 0 {
		d.directory.ReplaceList(r.Join.Hosts, now)
	}
	for _, n := range r.Join.Leaves {
		d.directory.MarkLeaving(n, now)
	}
	if r.Join.Snapshot.Rules.Version > 0 {
		d.follower.Restore(r.Join.Snapshot)
	}
}

// joinReply returns the state that this host sends to a new host.
func (d *Daemon) joinReply() *peer.JoinReply {
	reply := &peer.JoinReply{}
	reply.Snapshot, _ = d.follower.Snapshot()
	for _, h := range d.directory.View().Hosts {
		if h.Leaving {
			reply.Leaves = append(reply.Leaves, directory.LeaveNotice{Host: h.Name, Incarnation: h.Incarnation})
		}
		reply.Hosts = append(reply.Hosts, h.Host)
	}
	// The new host must know at least one other, even if no list has been read
	// yet.
	if reply.Hosts == nil {
		reply.Hosts = []hostlog.Host{d.ownHostRecord()}
	}
	return reply
}
