package hosted

import (
	"net"
	"time"

	"bulrushshed/gossip"
	"bulrushshed/platform"
	"bulrushshed/ratelimit"
	"bulrushshed/replica"
)

// replicaStates applies what replicas say of themselves in their answers, and tells the
// other hosts.
type replicaStates struct{ host *Host }

var _ platform.StateRecorder = replicaStates{}

// RecordLimit implements platform.StateRecorder.
func (s replicaStates) RecordLimit(r replica.Replica, n ratelimit.Naming, sentAt, now time.Time) {
	s.host.limits.Record(r.Incarnation(), n, sentAt, now)
}

// RecordLeaving implements platform.StateRecorder.
func (s replicaStates) RecordLeaving(r replica.Replica, now time.Time) {
	if s.host.replicas.MarkLeaving(r.Incarnation(), now) {
		s.host.log.Info("replicas: replica says that it leaves", "replica", r.ID, "address", r.Address)
		s.host.publishItem(replica.LeavingItem(r.Incarnation(), now))
	}
}

// RecordWait implements platform.StateRecorder. A wait that is named on a relayed
// connection holds for the relaying host, too.
func (s replicaStates) RecordWait(r replica.Replica, conn net.Conn, wait time.Duration, now time.Time) {
	s.host.limiter.RecordWait(r.Incarnation(), wait, now)
	relayed, ok := conn.(relayedConn)
	if !ok {
		return
	}
	i := ratelimit.WaitItem(relayed.via, r.Incarnation(), wait, now)
	if old, ok := s.host.findings.table.Get(i.Key); ok {
		i.Stamp = max(i.Stamp, old.Stamp+1)
	}
	s.host.publishItem(i)
}

// merge applies what another host has announced about a replica; ok is false if the item is
// about something else.
func (s replicaStates) merge(i gossip.Item, now time.Time) (ok bool) {
	if incarnation, ok := replica.ParseLeavingItem(i); ok {
		if s.host.replicas.MarkLeaving(incarnation, now) {
			s.host.log.Info("replicas: another host knows that a replica leaves", "incarnation", incarnation)
		}
		return true
	}
	if w, ok := ratelimit.ParseWaitItem(i); ok {
		if w.Host == s.host.cfg.PeerAddress {
			s.host.limiter.RecordWait(w.Replica, w.Left, now)
		}
		return true
	}
	return s.host.limits.Merge(i, now)
}

// acceptsRelayed reports whether this host may connect to a replica for another host.
func (h *Host) acceptsRelayed(address string) bool {
	r, listed := h.replicas.View().ByAddress(address)
	return listed && !h.limiter.Waiting(r.Incarnation(), time.Now())
}
