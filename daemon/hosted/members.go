package hosted

import (
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"bulrushshed/feed"
	"bulrushshed/gossip"
)

// refresh reads the members if they have changed. A host that has just joined can so
// connect to this one before the next heartbeat.
func (g *group) refresh() {
	if g.host.stopping.Load() || g.rejoining() {
		return
	}
	if generation, ok := g.join(); ok && generation != g.membersGeneration() {
		g.readMembers(generation)
	}
}

// rejoining reports whether members may still be missing in the group, since the store
// was restored just now.
func (g *group) rejoining() bool { return g.host.era.restoredWithin(rejoinDelay) }

// readMembers reads the members and applies them as those of the given
// generation. They may already be those of a later one.
func (g *group) readMembers(generation feed.Generation) {
	names, era, err := g.host.store.Members(groupName)
	if err != nil {
		g.host.log.Warn("group: reading the members failed, keeping the known ones", "cause", err.Error())
		return
	}
	if era != generation.Era {
		g.host.log.Info("group: store restored while the members were read, reading them again", "era", era, "generation", generation)
		return
	}
	g.setMembers(feed.Members{Era: era, Generation: generation.Number, Names: names})
}

// membersDue reports whether members may be missing in the list of a generation, which is
// looked at once, and again while this host is missing. The store
// lists a host once it owns a partition, and the hosts that joined before it give one up
// only with their next heartbeats; the generation does not change then. Hosts
// that are not listed would all read the store for themselves.
func (g *group) membersDue(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.left || g.rereadAt.IsZero() || now.Before(g.rereadAt) {
		return false
	}
	g.rereadAt = time.Time{}
	if !g.listed {
		g.rereadAt = now.Add(handoverTime)
	}
	return true
}

// knownMembers returns the generation of the members that this host knows, and their
// number.
func (g *group) knownMembers() (feed.Generation, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peersGeneration, g.nameCount
}

// membersGeneration returns the generation of the members that this host knows.
func (g *group) membersGeneration() feed.Generation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peersGeneration
}

// setMembers makes a list of members available to followers, and applies it
// unless the known one is at least as new.
func (g *group) setMembers(m feed.Members) {
	g.host.feed.log.SetMembers(m)
	peers := lo.FilterMap(m.Names, func(name string, _ int) (Peer, bool) { return parseMemberName(name) })
	g.mu.Lock()
	defer g.mu.Unlock()
	if !m.Supersedes(g.peersGeneration, g.nameCount) {
		return
	}
	if m.At() != g.peersGeneration {
		g.rereadAt = time.Now().Add(handoverTime)
	}
	g.peersGeneration = m.At()
	g.nameCount = len(m.Names)
	g.listed = slices.Contains(m.Names, g.memberName)
	g.pins = lo.SliceToMap(peers, func(p Peer) (string, bool) { return p.Pin, true })
	if !g.left {
		g.source = g.selectSource(peers)
	}
	// A host that has restarted may be listed twice until its old entry expires.
	peers = lo.UniqBy(peers, func(p Peer) string { return p.Address })
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(a.Address, b.Address) })
	g.peers = peers
	g.host.retryAccounts.SetMembers(lo.Map(peers, func(p Peer, _ int) string { return p.Address }), bootTime())
	g.confirmMember()
	g.host.log.Info("group: members updated", "hosts", len(peers), "generation", m.At())
}

// confirmMember confirms the share of this host of the retry budget, if it knows all members
// as of its last heartbeat. The caller holds g.mu.
func (g *group) confirmMember() {
	if g.heartbeatAt > 0 && g.peersGeneration.Compare(g.generation) >= 0 {
		g.host.retryAccounts.ConfirmMember(g.heartbeatAt)
	}
}

// selectSource returns the member from which this host receives changes, or nil
// if it is to read the store itself.
func (g *group) selectSource(peers []Peer) *Peer {
	all := lo.Map(peers, func(p Peer, _ int) gossip.Member {
		return gossip.Member{Name: p.Name, FailureDomain: p.FailureDomain, Capacity: p.Capacity}
	})
	sourceName := gossip.Source(gossip.Member{Name: g.memberName, FailureDomain: g.host.cfg.FailureDomain}, all, maxFollowers)
	if p, ok := lo.Find(peers, func(p Peer) bool { return p.Name == sourceName }); ok {
		return &p
	}
	return nil
}

// feedSource returns the host from which this one receives changes; ok is false
// if this host reads the store itself.
func (g *group) feedSource() (p Peer, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.source == nil {
		return Peer{}, false
	}
	return *g.source, true
}

// isReader reports whether this host reads the store itself, and so may have
// followers.
func (g *group) isReader() bool {
	_, hasSource := g.feedSource()
	return !hasSource
}

// hasPin reports whether a pin belongs to a member. If not, the members are read again.
func (g *group) hasPin(pin string) bool {
	g.mu.Lock()
	known := g.pins[pin]
	g.mu.Unlock()
	if !known {
		select {
		case g.unknownPin <- struct{}{}:
		default:
		}
	}
	return known
}

// size returns the number of hosts in the group, including this one.
func (g *group) size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.peersGeneration == (feed.Generation{}) {
		return assumedHosts
	}
	return max(len(g.peers), 1)
}

// localSize returns the number of hosts in this failure domain, including this
// one.
func (g *group) localSize() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.peersGeneration == (feed.Generation{}) {
		return assumedLocalHosts
	}
	n := lo.CountBy(g.peers, func(p Peer) bool { return p.FailureDomain == g.host.cfg.FailureDomain })
	return max(n, 1)
}

// members returns the last known members.
func (g *group) members() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peers
}
