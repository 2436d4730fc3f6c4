package relay

import (
	"sync"
	"time"
)

const (
	// probeInterval is how often a direct connection over a link that is down is tried.
	probeInterval = time.Second
	// unreachableTTL is how long a replica that no host reaches is dialed only directly.
	unreachableTTL = 500 * time.Millisecond
	// linkTTL is how long the state of a link that is not used is kept.
	linkTTL = time.Minute
)

// link is the state of the link to one replica.
type link struct {
	// down is set while this host reaches the replica only through other hosts, since
	// downSince. probedAt is when a direct dial last failed or began in the background.
	down      bool
	downSince time.Time
	probedAt  time.Time
	// unreachableUntil is until when no other host is asked.
	unreachableUntil time.Time
	usedAt           time.Time
}

// linkTable has the state of the links to replicas, by address. It is safe for concurrent
// use.
type linkTable struct {
	mu    sync.Mutex
	links map[string]*link
}

func newLinkTable() *linkTable { return &linkTable{links: map[string]*link{}} }

// state returns the state of a link.
func (t *linkTable) state(address string, now time.Time) link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.links[address]
	if !ok {
		return link{}
	}
	l.usedAt = now
	return *l
}

// update changes the state of a link. It returns the state before.
func (t *linkTable) update(address string, now time.Time, change func(l *link)) (before link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.links[address]
	if !ok {
		t.expire(now)
		l = &link{}
		t.links[address] = l
	}
	before = *l
	l.usedAt = now
	change(l)
	return before
}

// expire drops the links that were not used for linkTTL. The caller holds t.mu.
func (t *linkTable) expire(now time.Time) {
	for address, l := range t.links {
		if now.Sub(l.usedAt) > linkTTL {
			delete(t.links, address)
		}
	}
}

// startProbe reports whether a direct dial is due over a link that is down, and counts it
// as started.
func (t *linkTable) startProbe(address string, now time.Time) (due bool) {
	t.update(address, now, func(l *link) {
		due = l.down && now.Sub(l.probedAt) >= probeInterval
		if due {
			l.probedAt = now
		}
	})
	return due
}

// countDown returns the number of links that are down.
func (t *linkTable) countDown() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, l := range t.links {
		if l.down {
			n++
		}
	}
	return n
}
