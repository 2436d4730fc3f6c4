package admit

import (
	"context"
	"sync"
	"time"

	"bulrushshed/outcome"
	"bulrushshed/rule"
)

// Gate admits requests to the pools of this host; it is safe for concurrent
// use. Its lock is held for no wait.
type Gate struct {
	mu      sync.Mutex
	pools   map[string]*Queue
	buckets map[string]*bucket
	// shares are the parts of customers' limits, and of pools, that this host
	// has.
	shares map[string]float64
	// asked counts the requests for places of each pool.
	asked   map[string]int
	present int
	closed  bool
}

// bucket holds a customer's tokens as of a time, and counts its requests.
type bucket struct {
	tokens float64
	at     time.Time
	asked  int
}

// NewGate returns a gate without pools.
func NewGate() *Gate {
	return &Gate{pools: map[string]*Queue{}, buckets: map[string]*bucket{}, shares: map[string]float64{}, asked: map[string]int{}}
}

// Size sets the number of places of a pool.
func (g *Gate) Size(pool string, places int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if q, ok := g.pools[pool]; ok {
		q.Resize(places, now)
		return
	}
	g.pools[pool] = NewQueue(places)
}

// Enter waits for a place in a pool, which is given back by leave; that also
// tells whether the request was served to its end. The error is an
// *outcome.Error of kind NotRun.
func (g *Gate) Enter(
	ctx context.Context, pool string, a Request, f *rule.File, now time.Time,
) (leave func(served bool), err error) {
	t, err := g.ask(pool, a, f, now)
	if err != nil {
		return nil, err
	}
	select {
	case <-t.Ready():
	case <-ctx.Done():
		g.abandon(pool, t)
		return nil, refuse(outcome.CauseDeadline, "the deadline passed, or the caller left, before there was a place", 0)
	}
	if !t.Admitted() {
		return nil, refuse(outcome.CauseDeadline, "no place came up in time", time.Second)
	}
	return func(served bool) { g.leave(pool, t, served) }, nil
}

func (g *Gate) ask(pool string, a Request, f *rule.File, now time.Time) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, refuse(outcome.CauseStopping, "this host is stopping", time.Millisecond)
	}
	if l, ok := f.Limit(a.Customer); ok && !g.take(l, now) {
		wait := time.Duration(float64(time.Second) / l.Rate)
		return nil, refuse(outcome.CauseLimit, "customer "+a.Customer+" is over its limit", wait)
	}
	q, ok := g.pools[pool]
	if !ok {
		// The pool is new; its size follows soon.
		q = NewQueue(1)
		g.pools[pool] = q
	}
	g.asked[pool]++
	t, ok := q.Enter(a, now)
	if !ok {
		return nil, refuse(outcome.CauseDeadline, "the deadline can't be met now", q.Wait())
	}
	return t, nil
}

func (g *Gate) abandon(pool string, t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pools[pool].Abandon(t, time.Now())
}

func (g *Gate) leave(pool string, t *Ticket, served bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if served {
		g.pools[pool].Served(t, now)
	}
	g.pools[pool].Leave(now)
}

// Waiting returns the number of requests that wait for a place.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, q := range g.pools {
		n += q.Waiting()
	}
	return n
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

// Close refuses all from now on.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Share sets the part of a customer's limit, or of a pool, that this host has,
// from 0 to 1.
func (g *Gate) Share(name string, part float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares[name] = part
}

// Part returns the part that Share set, or else the given one.
func (g *Gate) Part(name string, other float64) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if part, ok := g.shares[name]; ok {
		return part
	}
	return other
}

// Demand returns how many requests each limited customer has made, and how many
// places of each pool were asked for, since the last call, refused ones
// included.
func (g *Gate) Demand() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	demand := g.asked
	g.asked = map[string]int{}
	for customer, b := range g.buckets {
		if b.asked > 0 {
			demand[customer] = b.asked
			b.asked = 0
		}
	}
	return demand
}

func (g *Gate) take(l rule.Limit, now time.Time) bool {
	part, ok := g.shares[l.Customer]
	if !ok {
		part = 1
	}
	b, ok := g.buckets[l.Customer]
	if !ok {
		b = &bucket{tokens: l.Burst * part, at: now}
		g.buckets[l.Customer] = b
	}
	b.asked++
	b.tokens = min(max(l.Burst*part, 1), b.tokens+l.Rate*part*now.Sub(b.at).Seconds())
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
