package standin

import (
	"slices"
	"sync"
	"time"
)

// stepScheduler simulates continuous batching: up to slots decoding steps run
// concurrently, and waiting steps are admitted by priority, then in order of
// arrival.
type stepScheduler struct {
	slots int
	// slowdown is the fraction by which each additional concurrent sequence
	// lengthens a step.
	slowdown float64

	mu      sync.Mutex
	running int
	waiting []waiter
}

type waiter struct {
	priority int
	admitted chan struct{}
}

// runStep occupies a slot for one decoding step. idleTime is the step time on an
// idle engine; concurrent steps lengthen it.
func (b *stepScheduler) runStep(priority int, idleTime time.Duration) {
	n := b.acquireSlot(priority)
	time.Sleep(time.Duration(float64(idleTime) * (1 + b.slowdown*float64(n-1))))
	b.releaseSlot()
}

// acquireSlot waits for a free slot and returns the number of slots then in use.
func (b *stepScheduler) acquireSlot(priority int) int {
	b.mu.Lock()
	if b.running < b.slots {
		b.running++
		defer b.mu.Unlock()
		return b.running
	}
	w := waiter{priority: priority, admitted: make(chan struct{})}
	// The comparison is never 0, so w goes behind the waiters of its priority.
	i, _ := slices.BinarySearchFunc(b.waiting, w, func(a, w waiter) int {
		if a.priority >= w.priority {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, i, w)
	b.mu.Unlock()
	<-w.admitted
	return b.slots
}

// releaseSlot releases the slot, handing it to the first waiter if there is one.
func (b *stepScheduler) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	w := b.waiting[0]
	b.waiting = b.waiting[1:]
	close(w.admitted)
}

// load returns the number of running and waiting steps.
func (b *stepScheduler) load() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running + len(b.waiting)
}
