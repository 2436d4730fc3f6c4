package ingress

import (
	"sync"
	"time"
)

// Freshness tracks when the known configuration was last confirmed to be
// current. Its clock must advance while the machine is suspended. It is safe
// for concurrent use.
type Freshness struct {
	validity time.Duration
	clock    func() time.Duration

	mu          sync.Mutex
	confirmed   bool
	confirmedAt time.Duration
}

// NewFreshness returns a Freshness without a confirmation. Each confirmation is
// valid for the given time.
func NewFreshness(validity time.Duration, clock func() time.Duration) *Freshness {
	return &Freshness{validity: validity, clock: clock}
}

// Now returns the time on the clock that dates confirmations.
func (f *Freshness) Now() time.Duration { return f.clock() }

// Confirm records that a read that was sent at sentAt returned every update that
// the store had at that time.
func (f *Freshness) Confirm(sentAt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.confirmed || sentAt > f.confirmedAt {
		f.confirmed = true
		f.confirmedAt = sentAt
	}
}

// Fresh reports whether the latest confirmation is still valid, and returns its
// age. Without any confirmation, the age is the reading of the clock.
func (f *Freshness) Fresh() (ok bool, age time.Duration) {
	now := f.clock()
	f.mu.Lock()
	defer f.mu.Unlock()
	age = now - f.confirmedAt
	return f.confirmed && age < f.validity, age
}
