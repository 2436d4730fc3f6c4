package delivery

import (
	"sync"
	"time"
)

const (
	// earned is what an answer adds to a budget, and budgetMax the most that
	// it holds: repeats stay under a tenth of the answers, but for a burst.
	earned    = 0.1
	budgetMax = 20
)

// budget bounds how many sends of a class are repeats, so that a service in
// trouble is not sent several times the load. It is safe for concurrent use.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: budgetMax} }

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+earned, budgetMax)
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	// hedgeQuantile is the share of answers that come before a hedge is sent.
	hedgeQuantile = 0.95
	// firstHedge is the wait before the answers tell better, and leastHedge
	// the least wait.
	firstHedge = 100 * time.Millisecond
	leastHedge = 2 * time.Millisecond
	// hedgeStep is the share by which one answer moves the wait.
	hedgeStep = 0.05
)

// hedge estimates how long all but a few answers of a class take. It is safe
// for concurrent use.
type hedge struct {
	mu   sync.Mutex
	wait time.Duration
}

func newHedge() *hedge { return &hedge{wait: firstHedge} }

// observe moves the estimate: up for a slow answer, down, by less, for a fast
// one, so that it rests where one in twenty is slow.
func (h *hedge) observe(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	step := hedgeStep * float64(h.wait)
	if took > h.wait {
		h.wait += time.Duration(step * hedgeQuantile)
	} else {
		h.wait -= time.Duration(step * (1 - hedgeQuantile))
	}
	h.wait = max(h.wait, leastHedge)
}

func (h *hedge) delay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wait
}

// classes keeps what is known of each class; rules bound their number.
type classes struct {
	mu  sync.Mutex
	all map[string]*class
}

type class struct {
	budget *budget
	hedge  *hedge
}

func (c *classes) of(name string) *class {
	c.mu.Lock()
	defer c.mu.Unlock()
	found, ok := c.all[name]
	if !ok {
		found = &class{budget: newBudget(), hedge: newHedge()}
		c.all[name] = found
	}
	return found
}
