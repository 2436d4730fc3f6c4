package hosted

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushshed/feed"
	"bulrushshed/loop"
)

const (
	// groupName names the group of all entry hosts.
	groupName = "bulrushshed-hosts"
	// heartbeatInterval is the time between heartbeats of a reader to the store,
	// and memberTTL how long a member stays in the group without heartbeats.
	heartbeatInterval = 450 * time.Millisecond
	memberTTL         = 2500 * time.Millisecond
	// followerHeartbeatTicks makes a follower send a heartbeat only on every n-th
	// tick of heartbeatInterval.
	followerHeartbeatTicks = 2
	// leaseMargin is how long before the end of its lease a holder stops sending
	// orders. Another host can only get the lease after its end.
	leaseMargin = 700 * time.Millisecond
	// readyPollInterval is the interval of checks whether the host can serve.
	readyPollInterval = 20 * time.Millisecond
	// refreshInterval is the minimum time between two reads of the members that are due
	// to hosts that are not known as members.
	refreshInterval = 200 * time.Millisecond
	// startupJoinDelay is the time between joining the group and reading its
	// members for the first time.
	startupJoinDelay = 300 * time.Millisecond
	// rejoinDelay is how long after the beginning of an era members are not read: the
	// backup that the store was restored from lists the members of some time ago, and all
	// hosts renew their membership within this time.
	rejoinDelay = (followerHeartbeatTicks + 1) * heartbeatInterval
	// handoverTime is how long after a change of the group all members are listed: within
	// two heartbeats each gives up the partitions that it no longer owns.
	handoverTime = 2*followerHeartbeatTicks*heartbeatInterval + 200*time.Millisecond
	// leaseTopic is the topic whose first partition is the control lease. All hosts share
	// its partitions.
	leaseTopic = "hosts0"
	// memberTopics is the number of topics by which hosts are visible to each other. It
	// keeps the hosts of a topic, 25 of 400 on average, below its 48 partitions.
	memberTopics = 16
	// assumedHosts and assumedLocalHosts are the assumed numbers of hosts in the
	// group and in this failure domain until the members are known.
	assumedHosts      = 8
	assumedLocalHosts = 3
)

// groupTopics returns the topics whose partitions a host with the given address shares.
// Other hosts see a member only if it owns a partition. The store distributes the
// partitions of each topic evenly by itself: once each of its partitions has another
// owner, a host that joins gets none of them. So each host shares those of one topic with
// a few others only.
func groupTopics(address string) []string {
	return []string{leaseTopic, fmt.Sprintf("members%d", xxhash.Sum64String(address)%memberTopics)}
}

// group is this host's membership in the group of entry hosts. The owner of the
// first partition holds the control lease, which allows it to send orders to
// engines, with the group's generation as its fencing token. A restore of the store
// takes the generation back and may give the lease to another host at once, so a lease
// is of one era, and begins only after all leases of earlier eras have ended.
type group struct {
	host *Host
	// memberName is this host's name in the group.
	memberName string
	// joined is closed once this host has tried to join the group and to read its
	// members for the first time, and membersRead once it has read them again.
	joined      chan struct{}
	membersRead chan struct{}
	// unknownPin signals that a host has connected that is not known as a member.
	unknownPin chan struct{}

	mu sync.Mutex
	// generation is the group's generation as of the last heartbeat that the store
	// has answered, which was sent at heartbeatAt, on the clock of bootTime.
	generation  feed.Generation
	heartbeatAt time.Duration
	// peersGeneration is the generation of the group that peers belong to.
	peersGeneration feed.Generation
	peers           []Peer
	// nameCount is the number of names in the list of the members, and listed is set if
	// this host's is among them. The list is read again at rereadAt, unless that is zero.
	nameCount int
	listed    bool
	rereadAt  time.Time
	// pins holds the certificate pins of all members. source is the host from
	// which this one receives changes, or nil if it reads the store itself.
	pins   map[string]bool
	source *Peer
	// ticks counts the ticks of the heartbeat loop.
	ticks int
	// controlling is set if this host owns the first partition. That lease ends at
	// leaseEnd, on the clock of bootTime.
	controlling bool
	leaseEnd    time.Duration
	// left is set once this host begins to leave the group.
	left bool
}

func newGroup(h *Host, pin string) *group {
	self := Peer{
		Address: h.cfg.CallerAddress, FailureDomain: h.cfg.FailureDomain, PeerAddress: h.cfg.PeerAddress, Pin: pin,
		Capacity: h.cfg.ProcessorShare * h.cfg.LinkMbps,
	}
	return &group{host: h, memberName: self.memberName(time.Now()), joined: make(chan struct{}), membersRead: make(chan struct{}), unknownPin: make(chan struct{}, 1)}
}

// run joins the group once the host can serve, and maintains the membership
// until ctx ends.
func (g *group) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for t, _ := g.host.Table(); t == nil && ctx.Err() == nil; t, _ = g.host.Table() {
			loop.SleepContext(ctx, readyPollInterval)
		}
		if generation, ok := g.join(); ok {
			g.readMembers(generation)
		}
		close(g.joined)
		// Let the hosts that started at the same time join before the members are
		// read.
		loop.SleepContext(ctx, startupJoinDelay)
		g.tick()
		close(g.membersRead)
		g.maintain(ctx)
		done <- nil
	}()
	return done
}

// maintain sends heartbeats until ctx ends, and reads the members when an unknown host
// connects.
func (g *group) maintain(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var refreshedAt time.Time
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			g.tick()
		case <-g.unknownPin:
			if time.Since(refreshedAt) >= refreshInterval {
				refreshedAt = time.Now()
				g.refresh()
			}
		case <-ctx.Done():
		}
	}
}

// tick sends a heartbeat if one is due, and reads the members if they have
// changed, unless the source provides them. It does nothing on a host that is
// stopping.
func (g *group) tick() {
	if g.ticks++; g.host.stopping.Load() || g.ticks%followerHeartbeatTicks != 0 && !g.isReader() {
		return
	}
	generation, ok := g.join()
	if !ok || g.rejoining() || g.host.feed.hasRecentResponse() {
		return
	}
	if generation != g.membersGeneration() || g.membersDue(time.Now()) {
		g.readMembers(generation)
	}
}

// join sends a heartbeat, which also joins the group, and returns the group's
// generation.
func (g *group) join() (generation feed.Generation, ok bool) {
	sentAt := bootTime()
	m, err := g.host.store.Join(groupName, g.memberName, groupTopics(g.host.cfg.CallerAddress), memberTTL, g.lastNumber())
	if err != nil {
		g.host.log.Debug("group: heartbeat failed, retrying", "cause", err.Error())
		return feed.Generation{}, false
	}
	g.host.feed.log.MarkStoreReached(sentAt)
	g.applyMembership(m, sentAt)
	return m.Generation, true
}

// lastNumber returns the number of the group's generation as of the last heartbeat, which
// may be newer than that of the known members; 0 if the store has been restored since.
func (g *group) lastNumber() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.generation.Era != g.host.era.current() {
		return 0
	}
	return g.generation.Number
}

// leave removes this host from the group, so that it gets no new callers. The
// channel is closed once the store has answered or the call has failed.
func (g *group) leave() <-chan struct{} {
	g.mu.Lock()
	g.left = true
	reader := g.source == nil
	g.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := g.host.store.Leave(groupName, g.memberName); err != nil {
			g.host.log.Warn("group: leaving failed, the membership will expire", "cause", err.Error())
			return
		}
		if reader {
			// Publish the new members at once, so that this host's followers switch to
			// another source. As those of the next generation, they replace the known
			// ones.
			next := g.membersGeneration()
			next.Number++
			g.readMembers(next)
		}
	}()
	return done
}
