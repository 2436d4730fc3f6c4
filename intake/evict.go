package intake

import (
	"slices"
	"time"
)

// reserve reserves n bytes, evicts other entries for them, lets the entry wait or refuses.
func (l *Ledger) reserve(e *Entry, n int, now time.Time) Decision {
	if e.evicted || !e.open {
		return Decision{Result: Refused}
	}
	if l.shortage(e, n) <= 0 {
		l.add(e, n)
		return Decision{Result: Granted}
	}
	if !l.makeRoom(e, n, now) {
		return Decision{Result: Refused}
	}
	e.recent, e.observedAt = e.recentAt(now), now
	l.count(e, -1)
	e.ready, e.wanted, e.waitEnds = make(chan struct{}), n, now.Add(maxWait)
	l.count(e, 1)
	l.waiting = append(l.waiting, e)
	return e.waiting(now)
}

// waiting returns the decision that the entry waits on.
func (e *Entry) waiting(now time.Time) Decision {
	until := now.Add(checkInterval)
	if until.After(e.waitEnds) {
		until = e.waitEnds
	}
	return Decision{Result: Waiting, Ready: e.ready, Until: until}
}

// makeRoom evicts entries for a reservation that does not fit. It returns false if waiting
// for it is pointless.
func (l *Ledger) makeRoom(e *Entry, n int, now time.Time) bool {
	for l.shortage(e, n) > l.evictedFor(e, n) {
		victim := l.victim(e, n, now)
		if victim == e {
			return false
		}
		if victim == nil {
			break
		}
		l.evict(victim, now)
	}
	return l.mayFit(e, n)
}

// evictStalledWrites evicts responses that their callers do not read, until n bytes fit.
func (l *Ledger) evictStalledWrites(e *Entry, n int, now time.Time) {
	for _, other := range slices.Clone(l.entries) {
		if l.shortage(e, n) <= l.evictedFor(e, n) {
			return
		}
		if other != e && !other.evicted && other.isWriteStalled(now) {
			l.evict(other, now)
		}
	}
}

// isLarge reports whether an entry would be large with n more bytes.
func isLarge(e *Entry, n int) bool { return e.held+n > smallEntryBytes }

// largeBound is the number of bytes that large entries may hold together.
func (l *Ledger) largeBound() int { return l.capacity - l.capacity/smallShare }

// shortages returns by how many bytes a reservation exceeds the capacity, and that of large
// entries. They are zero or negative if it fits.
func (l *Ledger) shortages(e *Entry, n int) (all, large int) {
	all = l.all.reserved + n - l.capacity
	if !isLarge(e, n) {
		return all, 0
	}
	large = l.large.reserved + n - l.largeBound()
	if e.held <= smallEntryBytes {
		large += e.held
	}
	return all, large
}

func (l *Ledger) shortage(e *Entry, n int) int {
	all, large := l.shortages(e, n)
	return max(all, large)
}

// evictedFor returns how many bytes evicted entries will soon release for a reservation.
func (l *Ledger) evictedFor(e *Entry, n int) int {
	if _, large := l.shortages(e, n); large > 0 {
		return l.large.evicted
	}
	return l.all.evicted
}

// mayFit reports whether a reservation would fit if all entries ended that do not wait for
// memory themselves. If not, entries would only wait for each other.
func (l *Ledger) mayFit(e *Entry, n int) bool {
	all, large := l.shortages(e, n)
	others := l.all.reserved - l.all.waiting
	othersLarge := l.large.reserved - l.large.waiting
	if e.ready == nil {
		others -= e.held
		if e.held > smallEntryBytes {
			othersLarge -= e.held
		}
	}
	return all <= others && large <= othersLarge
}

// victim returns the entry to evict for a reservation, which may be the requesting entry
// itself, or nil. Responses that are not read come first, and then the entry that is being
// read with the highest cost.
func (l *Ledger) victim(e *Entry, n int, now time.Time) *Entry {
	_, large := l.shortages(e, n)
	worst, worstCost := (*Entry)(nil), minEvictCost
	for _, other := range l.entries {
		if other.evicted || other.held == 0 || large > 0 && other != e && other.held <= smallEntryBytes {
			continue
		}
		if other.isWriteStalled(now) {
			return other
		}
		if !other.reading {
			continue
		}
		cost := other.costAt(now)
		if cost > worstCost || worst == e && cost == worstCost {
			worst, worstCost = other, cost
		}
	}
	return worst
}

// evict tells the holder of an entry to end. The bytes stay reserved until the entry is
// closed or gives them back.
func (l *Ledger) evict(e *Entry, now time.Time) {
	l.count(e, -1)
	e.evicted = true
	l.count(e, 1)
	l.evicted++
	if e.ready != nil {
		l.stopWaiting(e, now)
	}
	e.holder.Evict(!e.reading || !e.writingSince.IsZero())
}

// stopWaiting ends the wait of an entry.
func (l *Ledger) stopWaiting(e *Entry, now time.Time) {
	l.count(e, -1)
	close(e.ready)
	e.ready = nil
	e.observedAt = now
	l.count(e, 1)
	l.waiting = slices.DeleteFunc(l.waiting, func(other *Entry) bool { return other == e })
}

// grantWaiting reserves the bytes of waiting entries that fit now, in the order of their
// arrival.
func (l *Ledger) grantWaiting(now time.Time) {
	if len(l.waiting) == 0 {
		return
	}
	for _, e := range slices.Clone(l.waiting) {
		if l.shortage(e, e.wanted) <= 0 {
			l.stopWaiting(e, now)
			l.add(e, e.wanted)
			e.granted = true
		}
	}
}
