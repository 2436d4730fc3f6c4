package hosted

import (
	"sync"
	"time"

	"bulrushshed/feed"
)

// eraClock tracks the era of the store: which one is the newest that this host has seen,
// and for how long. It is safe for concurrent use.
type eraClock struct {
	clock func() time.Duration

	mu     sync.Mutex
	known  bool
	era    int64
	seenAt time.Duration
	// witnessed is set if this host has seen the era before, so that the newest one is not
	// older than seenAt by much.
	witnessed bool
	// settledEra is the newest era in which the operator is known to have republished
	// what a restore has lost.
	settledEra int64
}

// newEraClock returns an eraClock that has seen no era. The clock must also count the time
// during which the machine was suspended.
func newEraClock(clock func() time.Duration) *eraClock { return &eraClock{clock: clock} }

// observe records the era of an answer of the store, and reports whether it is newer than
// all before. The first one is not.
func (c *eraClock) observe(era int64) (old int64, isNewer bool) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known && era <= c.era {
		return c.era, false
	}
	old, isNewer = c.era, c.known
	c.witnessed = c.known
	c.known, c.era, c.seenAt = true, era, now
	return old, isNewer
}

// current returns the newest era.
func (c *eraClock) current() int64 {
	era, _ := c.age()
	return era
}

// age returns the newest era, and for how long this host has known it.
func (c *eraClock) age() (era int64, age time.Duration) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era, now - c.seenAt
}

// restored reports whether the store has ever been restored.
func (c *eraClock) restored() bool { return c.current() > feed.FirstEra }

// restoredWithin reports whether this host has seen the store being restored within the
// given time.
func (c *eraClock) restoredWithin(d time.Duration) bool {
	_, age := c.age()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.witnessed && age < d
}

// rewriteTime is how long after a restore the operator may take to republish what it
// wrote since the backup.
const rewriteTime = 2 * time.Second

// settle records that the operator has republished what the restore before an era has
// lost.
func (c *eraClock) settle(era int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settledEra = max(c.settledEra, era)
}

// settled reports whether the store has everything that it ever acknowledged to the
// operator. A host that has just started does not know when the era began.
func (c *eraClock) settled() bool {
	era, age := c.age()
	c.mu.Lock()
	defer c.mu.Unlock()
	return era <= feed.FirstEra || c.settledEra >= era || age >= rewriteTime
}

// observeEra records the era of an answer of the store.
func (h *Host) observeEra(era int64) {
	old, isNewer := h.era.observe(era)
	if !isNewer {
		return
	}
	h.log.Info("store: restored from a backup", "old_era", old, "era", era)
	h.feed.log.ObserveEra(era)
}
