package claim

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushshed/outcome"
)

// Finding is what a ledger knows of a key whose home has gone.
type Finding string

// The findings.
const (
	// FindingNone means that nobody can tell.
	FindingNone Finding = "none"
	// FindingOutcome means that the outcome stands in the log.
	FindingOutcome Finding = "outcome"
	// FindingNeverRan means that the home has stopped, and that its whole
	// journal does not hold the key.
	FindingNeverRan Finding = "never_ran"
)

// Ledger is the fold of all homes' journals on one host. It keeps where an
// outcome stands in the log, not the answer. It is safe for concurrent use.
type Ledger struct {
	life time.Duration

	mu    sync.Mutex
	homes map[Home]*account
	sweep time.Time
}

// account is what one home has journalled.
type account struct {
	// next is the number of the batch that must come next; once a batch is
	// missing it never moves on.
	next    int64
	settled bool
	// entries are by the hash of the key.
	entries map[uint64]entry
	// trimmed is the latest issue of a key that was dropped as too old. Of
	// keys up to then, absence tells nothing.
	trimmed time.Time
	// heard is when the last batch was read.
	heard time.Time
}

type entry struct {
	offset int64
	issued time.Time
	kind   outcome.Kind
}

// NewLedger returns a ledger that keeps keys for their life.
func NewLedger(life time.Duration) *Ledger {
	return &Ledger{life: life, homes: map[Home]*account{}}
}

// Fold takes the batch that stands at an offset of the log.
func (l *Ledger) Fold(offset int64, b Batch, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	a, ok := l.homes[b.Home]
	if !ok {
		a = &account{next: 1, entries: map[uint64]entry{}}
		l.homes[b.Home] = a
	}
	a.heard = now
	for _, o := range b.Outcomes {
		if key, ok := ParseKey(o.Key); ok {
			a.entries[xxhash.Sum64String(o.Key)] = entry{offset: offset, issued: key.Issued, kind: o.Kind}
		}
	}
	if b.Seq == a.next {
		a.next++
		a.settled = b.Settled
	}
}

// Find returns what is known of a key, and where its outcome stands.
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
	if a.settled && key.Issued.After(a.trimmed) {
		return FindingNeverRan, 0, ""
	}
	return FindingNone, 0, ""
}

// expire drops entries whose keys can't be used any more, and homes that have
// been silent for so long that all their keys are.
func (l *Ledger) expire(now time.Time) {
	if now.Before(l.sweep) {
		return
	}
	l.sweep = now.Add(sweepEvery)
	for home, a := range l.homes {
		if now.Sub(a.heard) > 2*l.life {
			delete(l.homes, home)
			continue
		}
		for sum, e := range a.entries {
			if now.Sub(e.issued) <= l.life {
				continue
			}
			delete(a.entries, sum)
			if e.issued.After(a.trimmed) {
				a.trimmed = e.issued
			}
		}
	}
}

// Len returns the number of outcomes at hand.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, a := range l.homes {
		n += len(a.entries)
	}
	return n
}
