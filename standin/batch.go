package standin

import (
	"slices"
	"sync"
	"time"
)

// batch runs steps of many sequences at a time, up to its slots; a waiting
// step of a higher priority goes first.
type batch struct {
	slots int
	// slowdown is the share by which each further sequence slows a batch.
	slowdown float64

	mu      sync.Mutex
	running int
	waiting []waiter
}

type waiter struct {
	priority int
	admitted chan struct{}
}

// step runs for the given time on an idle engine, and longer beside others.
func (b *batch) step(priority int, idle time.Duration) {
	n := b.enter(priority)
	time.Sleep(time.Duration(float64(idle) * (1 + b.slowdown*float64(n-1))))
	b.leave()
}

func (b *batch) enter(priority int) int {
	b.mu.Lock()
	if b.running < b.slots {
		b.running++
		defer b.mu.Unlock()
		return b.running
	}
	w := waiter{priority: priority, admitted: make(chan struct{})}
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

// leave hands the slot to the first waiter, if there is one.
func (b *batch) leave() {
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

// load is the number of steps that run or wait.
func (b *batch) load() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running + len(b.waiting)
}
