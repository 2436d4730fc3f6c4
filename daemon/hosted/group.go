package hosted

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"bulrushshed/feed"
	"bulrushshed/gossip"
	"bulrushshed/loop"
	"bulrushshed/platform"
)

const (
	// groupName names the group of all entry hosts.
	groupName = "bulrushshed-hosts"
	// joinEvery is the time between two heartbeats to the store of a host that
	// feeds others, and joinLife how long one that sends none is taken for
	// alive.
	joinEvery = 450 * time.Millisecond
	joinLife  = 2500 * time.Millisecond
	// joinTurns is how many of those times a host that feeds no others passes.
	joinTurns = 2
	// leaseMargin is how much sooner a holder stops than others may begin.
	leaseMargin = 700 * time.Millisecond
	// servePoll is the time between two looks whether the host can serve.
	servePoll = 20 * time.Millisecond
	// meetTime is how long a host that has joined waits before it reads the
	// members for the first time.
	meetTime = 300 * time.Millisecond
	// maxHosts is the number of hosts up to which all are seen by the others,
	// and topicParts that of partitions of a topic.
	maxHosts   = 408
	topicParts = 24
	// assumedHosts is the number of hosts that share the work, and assumedNear
	// that of those in this failure domain, as long as the group is not known.
	assumedHosts = 8
	assumedNear  = 3
)

// groupTopics share out their partitions among the hosts; a host is a member that
// others see as long as there are no more hosts than partitions.
var groupTopics = lo.Times(maxHosts/topicParts, func(i int) string { return fmt.Sprintf("hosts%d", i) })

// group is this host's part in the group of entry hosts. The member of the
// first partition controls the engines; the group's generation is its fencing
// number.
type group struct {
	host *Host
	// member is the name by which others know this host.
	member string
	// met is closed when the host has tried to read the members.
	met chan struct{}

	mu         sync.Mutex
	generation int64
	// seen is the generation that peers are of.
	seen  int64
	peers []Peer
	// pins are those of all members, and feeder is the one that feeds this
	// host; nil if it reads the store.
	pins   map[string]bool
	feeder *Peer
	// turns counts heartbeats that were due.
	turns int
	// first is whether this host holds the first partition until a time, by
	// the clock that counts suspension.
	first bool
	until time.Duration
	left  bool
}

func newGroup(h *Host, pin string) *group {
	self := Peer{
		Address: h.cfg.CallerAddress, FailureDomain: h.cfg.FailureDomain, PeerAddress: h.cfg.PeerAddress, Pin: pin,
		Power: h.cfg.ProcessorShare * h.cfg.LinkMbps,
	}
	return &group{host: h, member: self.member(time.Now()), met: make(chan struct{})}
}

// run joins the group once the host can serve, and keeps it there until ctx ends.
func (g *group) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for t, _ := g.host.Table(); t == nil && ctx.Err() == nil; t, _ = g.host.Table() {
			loop.SleepContext(ctx, servePoll)
		}
		g.join()
		// Hosts that started together have joined by then.
		loop.SleepContext(ctx, meetTime)
		g.keep(ctx)
		close(g.met)
		done <- <-loop.Every(ctx, joinEvery, g.keep)
	}()
	return done
}

// keep sends a heartbeat, and reads the members when they have changed.
func (g *group) keep(context.Context) {
	if g.turns++; g.host.stopping.Load() || g.turns%joinTurns != 0 && !g.feeds() {
		return
	}
	if generation, ok := g.join(); ok && generation != g.known() && !g.host.feeder.fed() {
		g.read(generation)
	}
}

// join sends a heartbeat, and returns the generation of the group.
func (g *group) join() (generation int64, ok bool) {
	sent := bootTime()
	m, err := g.host.store.Join(groupName, g.member, groupTopics, joinLife, g.generationNow())
	if err != nil {
		g.host.log.Debug("group: heartbeat failed", "cause", err.Error())
		return 0, false
	}
	g.host.feeder.log.MarkStoreReached(sent)
	g.joined(m, sent)
	return m.Generation, true
}

// read reads the members of a generation, or of a later one.
func (g *group) read(generation int64) {
	names, err := g.host.store.Members(groupName)
	if err != nil {
		g.host.log.Warn("group: members not read", "cause", err.Error())
		return
	}
	g.learn(feed.Members{Generation: generation, Names: names})
}

// known is the generation of the members that this host knows.
func (g *group) known() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seen
}

func (g *group) generationNow() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.generation
}

// joined takes the answer to a heartbeat.
func (g *group) joined(m platform.Membership, sent time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.OwnsFirstPartition != g.first {
		g.host.log.Info("group: control", "held", m.OwnsFirstPartition, "generation", m.Generation)
	}
	g.generation = m.Generation
	g.first = m.OwnsFirstPartition
	g.until = sent + joinLife - leaseMargin
}

// learn takes the members, and passes them on.
func (g *group) learn(m feed.Members) {
	g.host.feeder.log.SetMembers(m)
	peers := lo.FilterMap(m.Names, func(name string, _ int) (Peer, bool) { return peerOf(name) })
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.Generation <= g.seen {
		return
	}
	g.seen = m.Generation
	g.pins = lo.SliceToMap(peers, func(p Peer) (string, bool) { return p.Pin, true })
	if !g.left {
		g.feeder = g.feederAmong(peers)
	}
	// A host that has started again may be there twice for a while.
	peers = lo.UniqBy(peers, func(p Peer) string { return p.Address })
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(a.Address, b.Address) })
	g.peers = peers
	g.host.log.Info("group: members", "hosts", len(peers), "generation", m.Generation)
}

// feederAmong returns the member that feeds this host, or nil.
func (g *group) feederAmong(peers []Peer) *Peer {
	all := lo.Map(peers, func(p Peer, _ int) gossip.Member {
		return gossip.Member{Name: p.Name, FailureDomain: p.FailureDomain, Capacity: p.Power}
	})
	source := gossip.Source(gossip.Member{Name: g.member, FailureDomain: g.host.cfg.FailureDomain}, all, fedHosts)
	if p, ok := lo.Find(peers, func(p Peer) bool { return p.Name == source }); ok {
		return &p
	}
	return nil
}

// source returns the host that feeds this one; ok is false if this host is to read
// the store itself.
func (g *group) source() (p Peer, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.feeder == nil {
		return Peer{}, false
	}
	return *g.feeder, true
}

// feeds reports whether this host may feed others.
func (g *group) feeds() bool {
	_, fed := g.source()
	return !fed
}

// trusts reports whether a pin is that of a member.
func (g *group) trusts(pin string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pins[pin]
}

// size is the number of hosts that share the work, this one included.
func (g *group) size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.seen == 0 {
		return assumedHosts
	}
	return max(len(g.peers), 1)
}

// near is the number of hosts in this failure domain, this one included.
func (g *group) near() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.seen == 0 {
		return assumedNear
	}
	n := lo.CountBy(g.peers, func(p Peer) bool { return p.FailureDomain == g.host.cfg.FailureDomain })
	return max(n, 1)
}

// members returns the hosts that take requests, as last known.
func (g *group) members() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peers
}

// holds reports whether this host may give orders now, and its fencing number.
func (g *group) holds() (fence int64, ok bool) {
	now := bootTime()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.generation, g.first && !g.left && now < g.until
}

// leave tells the others that this host takes no more callers. The channel is
// closed when the store knows, or does not answer.
func (g *group) leave() <-chan struct{} {
	g.mu.Lock()
	g.left = true
	feeds := g.feeder == nil
	g.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := g.host.store.Leave(groupName, g.member); err != nil {
			g.host.log.Warn("group: not left", "cause", err.Error())
			return
		}
		if feeds {
			// Those that it feeds turn to another host at once.
			g.read(g.known() + 1)
		}
	}()
	return done
}
