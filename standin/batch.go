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
func (s *stepScheduler) runStep(priority int, idleTime time.Duration) {
	n := s.acquireSlot(priority)
	time.Sleep(time.Duration(float64(idleTime) * (1 + s.slowdown*float64(n-1))))
	s.releaseSlot()
}

// acquireSlot waits for a free slot and returns the number of slots then in use.
func (s *stepScheduler) acquireSlot(priority int) int {
	s.mu.Lock()
	if s.running < s.slots {
		s.running++
		defer s.mu.Unlock()
		return s.running
	}
	w := waiter{priority: priority, admitted: make(chan struct{})}
	// The comparison is never 0, so w goes behind the waiters of its priority.
	i, _ := slices.BinarySearchFunc(s.waiting, w, func(a, w waiter) int {
		if a.priority >= w.priority {
			return -1
		}
		return 1
	})
	s.waiting = slices.Insert(s.waiting, i, w)
	s.mu.Unlock()
	<-w.admitted
	return s.slots
}

// releaseSlot releases the slot, handing it to the first waiter if there is one.
func (s *stepScheduler) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	w := s.waiting[0]
	s.waiting = s.waiting[1:]
	close(w.admitted)
}

// load returns the number of running and waiting steps.
func (s *stepScheduler) load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running + len(s.waiting)
}
