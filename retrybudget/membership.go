package retrybudget

import (
	"maps"
	"time"
)

const (
	// hostMemory is how long a host counts after it was last listed as a member, or
	// hostMemoryWindows windows if that is longer. It may still serve meanwhile.
	hostMemory        = 60 * time.Second
	hostMemoryWindows = 4
	// settleTime is the time after the members are first known, or this host is a member
	// again, in which it has no share. Lists of members are partial while all hosts start.
	settleTime = 3 * time.Second
	// membershipTimeout is how long this host has its share without a confirmation that it
	// is a member and knows all of them. Hosts that start after that have their whole share
	// only once what this host has used no longer counts.
	membershipTimeout = settleTime
	// rejoinTimeout is how long this host may be no member without starting anew. Others
	// count it for hostMemory.
	rejoinTimeout = 30 * time.Second
	// shareFraction is the fraction of the extra part that is divided among the hosts, and
	// newShareFraction the one among those that have started lately. Their sum is less
	// than 1, as the lists of the hosts differ for a moment.
	shareFraction    = 0.8
	newShareFraction = 0.15
	// recountInterval is the interval at which the hosts are counted.
	recountInterval = time.Second
)

// membership has the hosts among which the extra part is divided.
type membership struct {
	self   string
	window time.Duration
	// current has the newest list of members; others in lastListed are of older lists,
	// with the time until which they were listed.
	current    map[string]bool
	lastListed map[string]time.Duration
	// known is set once there is a list, and confirmed once this host was a member and knew
	// all of them, which it last did at confirmedAt.
	known, confirmed bool
	confirmedAt      time.Duration
	// settledAt is when this host gets a share.
	settledAt time.Duration
	// count is the number of hosts as of countedAt.
	count     int
	countedAt time.Duration
}

func newMembership(self string, window time.Duration) *membership {
	return &membership{self: self, window: window, current: map[string]bool{}, lastListed: map[string]time.Duration{}, count: 1}
}

// set records a new list of members.
func (m *membership) set(addresses []string, now time.Duration) {
	for address := range m.current {
		m.lastListed[address] = now
	}
	clear(m.current)
	for _, address := range addresses {
		m.current[address] = true
		m.lastListed[address] = now
	}
	if !m.known {
		m.known = true
		m.settledAt = max(m.settledAt, now+settleTime)
	}
	m.recount(now)
}

// confirm records that this host was a member at a time, and knows all members of then.
func (m *membership) confirm(at time.Duration) {
	if m.confirmed && at-m.confirmedAt > rejoinTimeout {
		// Other hosts may have divided the share of this one among them meanwhile.
		m.settledAt = max(m.settledAt, at+settleTime)
	}
	m.confirmed = true
	m.confirmedAt = max(m.confirmedAt, at)
}

// hosts returns the number of hosts that are members or have been lately. A host that
// returns at the same address counts once.
func (m *membership) hosts(now time.Duration) int {
	if now-m.countedAt >= recountInterval {
		m.recount(now)
	}
	return m.count
}

func (m *membership) recount(now time.Duration) {
	memory := max(hostMemory, hostMemoryWindows*m.window)
	maps.DeleteFunc(m.lastListed, func(address string, last time.Duration) bool { return !m.current[address] && now-last > memory })
	m.count = len(m.lastListed)
	if _, listed := m.lastListed[m.self]; !listed {
		m.count++
	}
	m.countedAt = now
}

// share returns the fraction of the extra part that belongs to this host. It is small
// until nothing counts any more of what a process before this one has used or lent.
func (m *membership) share(now time.Duration) float64 {
	age := now - m.settledAt
	if !m.known || !m.confirmed || m.confirmedAt < m.settledAt || now-m.confirmedAt > membershipTimeout {
		return 0
	}
	fraction := shareFraction
	if age < m.window*lentBuckets/windowBuckets {
		fraction = newShareFraction * min(float64(age)/float64(m.window), 1)
	}
	return fraction / float64(m.hosts(now))
}
