package hosted

import (
	"time"

	"bulrushshed/platform"
)

// controlLease reports whether this host may send orders to engines now, and
// returns its fencing token. A lease of an era that has ended is void, and one of a new
// era begins after the longest lease of an earlier one has ended.
func (g *group) controlLease() (fence int64, ok bool) {
	now := bootTime()
	era, age := g.host.era.age()
	g.mu.Lock()
	defer g.mu.Unlock()
	valid := g.generation.Era == era && (!g.host.era.restored() || age >= memberTTL-leaseMargin)
	return g.generation.Fence(), valid && g.controlling && !g.left && now < g.leaseEnd
}

// applyMembership applies the response to a heartbeat that was sent at sentAt.
func (g *group) applyMembership(m platform.Membership, sentAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.OwnsFirstPartition != g.controlling {
		g.host.log.Info("group: control lease changed", "held", m.OwnsFirstPartition, "generation", m.Generation)
	}
	g.generation = m.Generation
	g.controlling = m.OwnsFirstPartition
	g.leaseEnd = sentAt + memberTTL - leaseMargin
	g.heartbeatAt = sentAt
	g.confirmMember()
}
