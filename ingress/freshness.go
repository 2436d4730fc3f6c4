package ingress

import (
	"sync"
	"time"
)

// Freshness is the proof of how recent the known configuration is. Its clock
// must also count the time that the machine was suspended. It is safe for
// concurrent use.
type Freshness struct {
	term  time.Duration
	clock func() time.Duration

	mu     sync.Mutex
	proved bool
	at     time.Duration
}

// NewFreshness returns a freshness without proof; a proof holds for a term.
func NewFreshness(term time.Duration, clock func() time.Duration) *Freshness {
	return &Freshness{term: term, clock: clock}
}

// Now returns the time by which proofs are dated.
func (f *Freshness) Now() time.Duration { return f.clock() }

// Prove notes that the store told all its news in an answer to a read that was
// sent at a time.
func (f *Freshness) Prove(sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.proved || sent > f.at {
		f.proved = true
		f.at = sent
	}
}

// Fresh reports whether the newest proof still holds, and its age.
func (f *Freshness) Fresh() (ok bool, age time.Duration) {
	now := f.clock()
	f.mu.Lock()
	defer f.mu.Unlock()
	age = now - f.at
	return f.proved && age < f.term, age
}
