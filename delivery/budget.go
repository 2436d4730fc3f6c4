package delivery

import (
	"sync"
	"time"
)

const (
	// retryRatio is the number of retry tokens that an answer adds, and
	// maxRetryTokens the size of the bucket: apart from a burst, retries stay
	// below a tenth of the answers.
	retryRatio     = 0.1
	maxRetryTokens = 20
)

// retryBudget limits the retries and hedges of a class to a fraction of its
// answers, so that they do not multiply the load on a failing service. It is safe
// for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

// deposit adds retryRatio tokens for an answer.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, maxRetryTokens)
}

// withdraw takes the token of one retry. It returns false if none is left.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	// hedgeQuantile is the fraction of answers that arrive before the hedge delay.
	hedgeQuantile = 0.95
	// initialHedgeDelay is the estimate before any answer was observed, and
	// minHedgeDelay its lower bound.
	initialHedgeDelay = 100 * time.Millisecond
	minHedgeDelay     = 2 * time.Millisecond
	// hedgeStep is the fraction of the estimate that bounds the change by one
	// answer.
	hedgeStep = 0.05
)

// hedgeDelay estimates the 95th percentile of the latency of a class. It is safe
// for concurrent use.
type hedgeDelay struct {
	mu       sync.Mutex
	estimate time.Duration
}

func newHedgeDelay() *hedgeDelay { return &hedgeDelay{estimate: initialHedgeDelay} }

// observe adjusts the estimate: up for a slow answer, and down by less for a fast
// one, so that it converges to the latency that one answer in twenty exceeds.
func (h *hedgeDelay) observe(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	step := hedgeStep * float64(h.estimate)
	if latency > h.estimate {
		h.estimate += time.Duration(step * hedgeQuantile)
	} else {
		h.estimate -= time.Duration(step * (1 - hedgeQuantile))
	}
	h.estimate = max(h.estimate, minHedgeDelay)
}

func (h *hedgeDelay) current() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.estimate
}

// classStates holds the state of each class. The rules bound the number of
// classes.
type classStates struct {
	mu     sync.Mutex
	byName map[string]*classState
}

type classState struct {
	budget     *retryBudget
	hedgeDelay *hedgeDelay
}

func (c *classStates) get(name string) *classState {
	c.mu.Lock()
	defer c.mu.Unlock()
	found, ok := c.byName[name]
	if !ok {
		found = &classState{budget: newRetryBudget(), hedgeDelay: newHedgeDelay()}
		c.byName[name] = found
	}
	return found
}
