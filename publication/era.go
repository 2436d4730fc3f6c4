package publication

import (
	"time"

	"bulrushshed/hostlog"
)

// beginEra handles the first page of a new era. Whoever held the lease may still act on it
// for a term; which of its last records the log has lost makes no difference then.
func (f *Follower) beginEra(era int64, now time.Time) {
	if era <= f.era {
		return
	}
	f.log.Warn("publication: log was restored from a backup", "old_era", f.era, "era", era)
	f.era = era
	f.elector.Reset(hostlog.Position(era, 0), now)
}

// mayBeOutdated reports whether this host has started after a restore of the log and knows
// only what the backup contains. Hosts that have run longer may have a newer file in force.
// The caller holds mu.
func (f *Follower) mayBeOutdated() bool {
	base, _ := f.rules.BaseEra()
	return f.Current().Version == 0 && !f.restored && f.era > base
}

// firstOffset returns the offset from which the records of a page were requested: the
// first one of the log if its position was of an earlier era.
func firstOffset(from int64, page hostlog.Page) int64 {
	if hostlog.EraOf(from) == hostlog.EraOf(page.Next) {
		return hostlog.OffsetOf(from)
	}
	return 1
}

// firstRead returns the position of the first record of a page. It may be of an earlier
// era than the log is in.
func firstRead(page hostlog.Page) int64 {
	if len(page.Records) > 0 {
		return page.Records[0].Offset
	}
	return page.First
}

// EraBase returns the checkpoint from which the current era begins, if this host holds the
// lease and the log has none yet. The hosts have told each other of the newest file by
// then, as a lease of a new era takes longer than a term to get.
func (f *Follower) EraBase(now time.Time) (s Snapshot, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	base, ok := f.rules.BaseEra()
	if _, holds := f.elector.Holds(now); !holds || !ok || base >= f.era {
		return Snapshot{}, false
	}
	c, _ := f.rules.Checkpoint()
	c.Era = f.era
	c.ReadTo = max(c.ReadTo, hostlog.Position(f.era, 0))
	return Snapshot{Rules: c, Lease: f.elector.State()}, true
}
