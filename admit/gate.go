package admit

import (
	"sync"
	"time"

	"bulrushshed/outcome"
	"bulrushshed/rule"
)

// Gate admits requests; it is safe for concurrent use.
type Gate struct {
	places int

	mu      sync.Mutex
	taken   int
	present int
	buckets map[string]*bucket
	closed  bool
}

// bucket holds a customer's tokens as of a time.
type bucket struct {
	tokens float64
	at     time.Time
}

// NewGate returns a gate with a number of places.
func NewGate(places int) *Gate {
	return &Gate{places: places, buckets: map[string]*bucket{}}
}

// Enter takes a token of the customer and a place, which the caller gives
// back by Leave. The error is an *outcome.Error of kind NotRun.
func (g *Gate) Enter(customer string, f *rule.File, now time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return refuse(outcome.CauseStopping, "this host is stopping", time.Millisecond)
	}
	if g.taken >= g.places {
		return refuse(outcome.CauseBusy, "this host has no place left", time.Second)
	}
	if l, ok := f.Limit(customer); ok && !g.take(l, now) {
		wait := time.Duration(float64(time.Second) / l.Rate)
		return refuse(outcome.CauseLimit, "customer "+customer+" is over its limit", wait)
	}
	g.taken++
	return nil
}

// Leave gives a place back.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.taken--
}

// Close refuses all from now on.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Arrive counts a request on this host, whether or not it gets a place, until
// the returned function is called.
func (g *Gate) Arrive() (depart func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.present++
	return sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.present--
	})
}

// Present returns the number of requests that have not departed.
func (g *Gate) Present() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.present
}

func (g *Gate) take(l rule.Limit, now time.Time) bool {
	b, ok := g.buckets[l.Customer]
	if !ok {
		b = &bucket{tokens: l.Burst, at: now}
		g.buckets[l.Customer] = b
	}
	b.tokens = min(l.Burst, b.tokens+l.Rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func refuse(cause outcome.Cause, message string, after time.Duration) error {
	return &outcome.Error{Op: "admit", Kind: outcome.NotRun, Cause: cause, Message: message, RetryAfter: after}
}
