package admit

import (
	"context"
	"sync"
	"time"

	"bulrushshed/outcome"
	"bulrushshed/rule"
)

// Gate admits requests to the pools of this host. It is safe for concurrent use.
// Its lock is not held while a request waits.
type Gate struct {
	mu      sync.Mutex
	pools   map[string]*Queue
	buckets map[string]*bucket
	// shares are this host's shares of customers' limits and of pools, from 0
	// to 1, by the name of the customer or pool.
	shares map[string]float64
	// requested counts the requests for slots of each pool since the last call
	// of TakeDemand.
	requested map[string]int
	// active is the number of requests on this host, admitted or not.
	active int
	closed bool
}

// bucket is a customer's token bucket: its tokens at a time, and the number of
// requests since the last call of TakeDemand.
type bucket struct {
	tokens   float64
	updated  time.Time
	requests int
}

// NewGate returns a gate without pools.
func NewGate() *Gate {
	return &Gate{pools: map[string]*Queue{}, buckets: map[string]*bucket{}, shares: map[string]float64{}, requested: map[string]int{}}
}

// SetSlots sets the number of slots of a pool.
func (g *Gate) SetSlots(pool string, slots int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if q, ok := g.pools[pool]; ok {
		q.Resize(slots, now)
		return
	}
	g.pools[pool] = NewQueue(slots)
}

// Acquire waits for a slot in a pool. f has the rate limits of customers. The
// returned function releases the slot; its argument says whether the request ran
// to completion. The error is an *outcome.Error of kind NotRun.
func (g *Gate) Acquire(
	ctx context.Context, pool string, r Request, f *rule.File, now time.Time,
) (release func(served bool), err error) {
	t, err := g.enqueue(pool, r, f, now)
	if err != nil {
		return nil, err
	}
	select {
	case <-t.Ready():
	case <-ctx.Done():
		g.cancel(pool, t)
		return nil, rejection(outcome.CauseDeadline, "the deadline passed or the caller disconnected before a slot was free", 0)
	}
	if !t.Admitted() {
		return nil, rejection(outcome.CauseDeadline, "no slot became free early enough to meet the deadline", time.Second)
	}
	return func(served bool) { g.release(pool, t, served) }, nil
}

func (g *Gate) enqueue(pool string, r Request, f *rule.File, now time.Time) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, rejection(outcome.CauseStopping, "this host is stopping", time.Millisecond)
	}
	if l, ok := f.Limit(r.Customer); ok && !g.takeToken(l, now) {
		wait := time.Duration(float64(time.Second) / l.Rate)
		return nil, rejection(outcome.CauseLimit, "customer "+r.Customer+" is over its rate limit", wait)
	}
	q, ok := g.pools[pool]
	if !ok {
		// A request may come for a new pool before its first SetSlots call.
		q = NewQueue(1)
		g.pools[pool] = q
	}
	g.requested[pool]++
	t, ok := q.Enqueue(r, now)
	if !ok {
		return nil, rejection(outcome.CauseDeadline, "the deadline can't be met behind the queued requests", q.ExpectedWait())
	}
	return t, nil
}

func (g *Gate) cancel(pool string, t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pools[pool].Cancel(t, time.Now())
}

func (g *Gate) release(pool string, t *Ticket, served bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if served {
		g.pools[pool].RecordDuration(t, now)
	}
	g.pools[pool].Release(now)
}

// Waiting returns the number of requests that wait for a slot.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, q := range g.pools {
		n += q.Waiting()
	}
	return n
}

// TrackRequest counts a request as active on this host, whether or not it gets a
// slot, until the returned function is called.
func (g *Gate) TrackRequest() (done func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active++
	return sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.active--
	})
}

// ActiveRequests returns the number of tracked requests that have not ended.
func (g *Gate) ActiveRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active
}

// Close makes the gate reject all later requests.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// SetShare sets this host's share of a customer's limit or of a pool, from 0 to 1.
func (g *Gate) SetShare(name string, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares[name] = share
}

// Share returns the share that SetShare set, or fallback if there is none.
func (g *Gate) Share(name string, fallback float64) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if share, ok := g.shares[name]; ok {
		return share
	}
	return fallback
}

// TakeDemand returns how many requests each limited customer has made, and how
// many slots of each pool were requested, since the last call, and starts to count
// again from zero. Rejected requests are included.
func (g *Gate) TakeDemand() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	demand := g.requested
	g.requested = map[string]int{}
	for customer, b := range g.buckets {
		if b.requests > 0 {
			demand[customer] = b.requests
			b.requests = 0
		}
	}
	return demand
}

// takeToken counts a request of a customer and takes a token from its bucket. It
// returns false if the customer is over its limit.
func (g *Gate) takeToken(l rule.Limit, now time.Time) bool {
	share, ok := g.shares[l.Customer]
	if !ok {
		share = 1
	}
	b, ok := g.buckets[l.Customer]
	if !ok {
		b = &bucket{tokens: l.Burst * share, updated: now}
		g.buckets[l.Customer] = b
	}
	b.requests++
	b.tokens = min(max(l.Burst*share, 1), b.tokens+l.Rate*share*now.Sub(b.updated).Seconds())
	b.updated = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func rejection(cause outcome.Cause, message string, retryAfter time.Duration) error {
	return &outcome.Error{Op: "admit", Kind: outcome.NotRun, Cause: cause, Message: message, RetryAfter: retryAfter}
}
