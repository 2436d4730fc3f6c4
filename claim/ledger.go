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
	keyTTL time.Duration

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
	// entries holds the outcomes by the hash of their key.
	entries map[uint64]entry
	// newestDropped is the latest issue time of a key that was dropped as
	// expired. The absence of a key issued up to then proves nothing.
	newestDropped time.Time
	// lastApplied is when a batch of this home was last applied.
	lastApplied time.Time
}

// entry is the outcome of one key.
type entry struct {
	offset int64
	issued time.Time
	kind   outcome.Kind
}

// NewLedger returns a ledger that keeps each key for keyTTL after it was issued.
func NewLedger(keyTTL time.Duration) *Ledger {
	return &Ledger{keyTTL: keyTTL, homes: map[Home]*homeState{}}
}

// Apply adds the batch at an offset of the log.
func (l *Ledger) Apply(offset int64, b Batch, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	home, ok := l.homes[b.Home]
	if !ok {
		home = &homeState{nextSeq: 1, entries: map[uint64]entry{}}
		l.homes[b.Home] = home
	}
	home.lastApplied = now
	for _, o := range b.Outcomes {
		if key, ok := ParseKey(o.Key); ok {
			home.entries[xxhash.Sum64String(o.Key)] = entry{offset: offset, issued: key.Issued, kind: o.Kind}
		}
	}
	if b.Seq == home.nextSeq {
		home.nextSeq++
		home.settled = b.Settled
	}
}

// Find returns what is known about a key. For FindingOutcome it also returns the
// offset of the outcome in the log, and its kind.
func (l *Ledger) Find(key Key, now time.Time) (f Finding, offset int64, kind outcome.Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	home, ok := l.homes[key.Home]
	if !ok {
		return FindingNone, 0, ""
	}
	if e, ok := home.entries[xxhash.Sum64String(key.String())]; ok {
		return FindingOutcome, e.offset, e.kind
	}
	if home.settled && key.Issued.After(home.newestDropped) {
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
	for id, home := range l.homes {
		if now.Sub(home.lastApplied) > 2*l.keyTTL {
			delete(l.homes, id)
			continue
		}
		for hash, e := range home.entries {
			if now.Sub(e.issued) <= l.keyTTL {
				continue
			}
			delete(home.entries, hash)
			if e.issued.After(home.newestDropped) {
				home.newestDropped = e.issued
			}
		}
	}
}

// Len returns the number of outcomes in the ledger.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, home := range l.homes {
		n += len(home.entries)
	}
	return n
}
