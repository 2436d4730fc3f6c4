package claim

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushshed/outcome"
)

// Finding is what a ledger knows about a key whose home has stopped.
type Finding string

// The findings.
const (
	// FindingNone means that the outcome is not known.
	FindingNone Finding = "none"
	// FindingOutcome means that the outcome is in the log.
	FindingOutcome Finding = "outcome"
	// FindingNeverRan means that the home has stopped, and that its complete
	// journal does not contain the key.
	FindingNeverRan Finding = "never_ran"
)

// Ledger indexes the journals of all homes on one host. It holds the offset of an
// outcome in the log, not the answer. It is safe for concurrent use.
type Ledger struct {
	keyLifetime time.Duration

	mu        sync.Mutex
	homes     map[Home]*homeState
	nextSweep time.Time
}

// homeState is the index of one home's journal.
type homeState struct {
	// nextSeq is the number of the next expected batch. It does not advance
	// past a missing batch.
	nextSeq int64
	settled bool
	// entries are indexed by the hash of the key.
	entries map[uint64]entry
	// newestDropped is the latest issue time of a key that was dropped as
	// expired. The absence of a key issued up to then proves nothing.
	newestDropped time.Time
	// lastRead is when the last batch was applied.
	lastRead time.Time
}

type entry struct {
	offset int64
	issued time.Time
	kind   outcome.Kind
}

// NewLedger returns a ledger that keeps keys for their lifetime.
func NewLedger(keyLifetime time.Duration) *Ledger {
	return &Ledger{keyLifetime: keyLifetime, homes: map[Home]*homeState{}}
}

// Apply adds the batch at an offset of the log.
func (l *Ledger) Apply(offset int64, b Batch, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	a, ok := l.homes[b.Home]
	if !ok {
		a = &homeState{nextSeq: 1, entries: map[uint64]entry{}}
		l.homes[b.Home] = a
	}
	a.lastRead = now
	for _, o := range b.Outcomes {
		if key, ok := ParseKey(o.Key); ok {
			a.entries[xxhash.Sum64String(o.Key)] = entry{offset: offset, issued: key.Issued, kind: o.Kind}
		}
	}
	if b.Seq == a.nextSeq {
		a.nextSeq++
		a.settled = b.Settled
	}
}

// Find returns what is known about a key, and the offset of its outcome.
func (l *Ledger) Find(key Key, now time.Time) (f Finding, offset int64, kind outcome.Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	a, ok := l.homes[key.Home]
	if !ok {
		return FindingNone, 0, ""
	}
	if e, ok := a.entries[xxhash.Sum64String(key.String())]; ok {
		return FindingOutcome, e.offset, e.kind
	}
	if a.settled && key.Issued.After(a.newestDropped) {
		return FindingNeverRan, 0, ""
	}
	return FindingNone, 0, ""
}

// expire drops entries whose keys have expired, and homes without a batch for so
// long that all their keys have expired.
func (l *Ledger) expire(now time.Time) {
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(sweepInterval)
	for home, a := range l.homes {
		if now.Sub(a.lastRead) > 2*l.keyLifetime {
			delete(l.homes, home)
			continue
		}
		for sum, e := range a.entries {
			if now.Sub(e.issued) <= l.keyLifetime {
				continue
			}
			delete(a.entries, sum)
			if e.issued.After(a.newestDropped) {
				a.newestDropped = e.issued
			}
		}
	}
}

// Len returns the number of outcomes in the ledger.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, a := range l.homes {
		n += len(a.entries)
	}
	return n
}
