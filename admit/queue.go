package admit

import (
	"container/heap"
	"time"
)

// Request describes a request for a slot.
type Request struct {
	Customer string
	// Priority orders requests; higher values are admitted first.
	Priority int
	// Weight is the customer's share of slots relative to other customers; 0
	// counts as 1.
	Weight float64
	// ServiceTime is how long the request is expected to hold its slot.
	ServiceTime time.Duration
	Deadline    time.Time
}

// Ticket is a request that is queued or has a slot.
type Ticket struct {
	request Request
	// virtualStart and virtualFinish are in virtual time: the seconds for which
	// a customer with weight 1 has held slots.
	virtualStart, virtualFinish float64
	// seq breaks ties in the order of arrival.
	seq int64
	// index is the position in the heap, or -1.
	index int
	// ready is closed once the ticket is admitted or rejected; admitted says
	// which, and admittedAt when.
	ready      chan struct{}
	admitted   bool
	admittedAt time.Time
}

// Ready returns a channel that is closed once the ticket is admitted or rejected.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Admitted reports whether the ticket has a slot. It may only be called after
// Ready is closed.
func (t *Ticket) Admitted() bool { return t.admitted }

// Queue is a weighted fair queue for a number of slots. It is not safe for
// concurrent use.
type Queue struct {
	slots int
	inUse int
	seq   int64
	// waiting holds the tickets without a slot, the next one to admit first.
	waiting ticketHeap
	// virtualTime is the virtual start of the ticket that was admitted last.
	virtualTime float64
	// lastFinish is the virtual finish of each customer's last ticket.
	lastFinish map[string]float64
	// queuedServiceTime is the sum of the expected service times of all waiting
	// tickets.
	queuedServiceTime time.Duration
	// durationRatio is the moving average of actual over expected service time.
	durationRatio float64
}

const (
	// ratioSmoothing is the weight of the newest request in durationRatio.
	ratioSmoothing = 0.05
	// maxDurationRatio bounds the effect of outliers on durationRatio.
	maxDurationRatio = 4
	// deadlineMargin scales the mean duration in the deadline check, since half
	// of all requests take longer than the mean.
	deadlineMargin = 1.1
)

// expectedDuration returns how long a request is expected to hold its slot, for
// the deadline check.
func (q *Queue) expectedDuration(r Request) time.Duration {
	return time.Duration(float64(r.ServiceTime) * q.durationRatio * deadlineMargin)
}

// RecordDuration updates the duration estimate with a request that ran to
// completion.
func (q *Queue) RecordDuration(t *Ticket, now time.Time) {
	if t.request.ServiceTime <= 0 {
		return
	}
	ratio := float64(now.Sub(t.admittedAt)) / float64(t.request.ServiceTime)
	q.durationRatio += ratioSmoothing * (min(ratio, maxDurationRatio) - q.durationRatio)
}

// NewQueue returns a queue with a number of slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: slots, lastFinish: map[string]float64{}, durationRatio: 1}
}

// Resize changes the number of slots. Admitted requests keep theirs.
func (q *Queue) Resize(slots int, now time.Time) {
	q.slots = slots
	q.dispatch(now)
}

// ExpectedWait returns the expected wait of a new request that is admitted after
// all queued ones.
func (q *Queue) ExpectedWait() time.Duration {
	if q.inUse < q.slots {
		return 0
	}
	return time.Duration(float64(q.queuedServiceTime) * q.durationRatio / float64(max(q.slots, 1)))
}

// Enqueue admits a request or queues it; ok is false if its deadline can't be
// met.
func (q *Queue) Enqueue(r Request, now time.Time) (t *Ticket, ok bool) {
	if q.slots <= 0 || now.Add(q.expectedWaitFor(r)+q.expectedDuration(r)).After(r.Deadline) {
		return nil, false
	}
	t = q.newTicket(r)
	if q.inUse < q.slots && len(q.waiting) == 0 {
		q.admit(t, now)
		return t, true
	}
	heap.Push(&q.waiting, t)
	q.queuedServiceTime += r.ServiceTime
	return t, true
}

// expectedWaitFor returns the expected wait of a request, which counts only the
// queued requests that would be admitted before it.
func (q *Queue) expectedWaitFor(r Request) time.Duration {
	if q.inUse < q.slots {
		return 0
	}
	start := q.nextVirtualStart(r)
	var sum time.Duration
	for _, t := range q.waiting {
		if t.request.Priority > r.Priority || t.request.Priority == r.Priority && t.virtualStart <= start {
			sum += t.request.ServiceTime
		}
	}
	return time.Duration(float64(sum) * q.durationRatio / float64(q.slots))
}

func (q *Queue) nextVirtualStart(r Request) float64 {
	return max(q.virtualTime, q.lastFinish[r.Customer])
}

func (q *Queue) newTicket(r Request) *Ticket {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	q.seq++
	start := q.nextVirtualStart(r)
	t := &Ticket{request: r, virtualStart: start, virtualFinish: start + r.ServiceTime.Seconds()/r.Weight, seq: q.seq, index: -1, ready: make(chan struct{})}
	q.lastFinish[r.Customer] = t.virtualFinish
	return t
}

func (q *Queue) admit(t *Ticket, now time.Time) {
	q.inUse++
	q.virtualTime = max(q.virtualTime, t.virtualStart)
	t.admitted = true
	t.admittedAt = now
	close(t.ready)
}

// Release frees a slot.
func (q *Queue) Release(now time.Time) {
	q.inUse--
	q.dispatch(now)
}

// Cancel removes a ticket from the queue. If it has been admitted meanwhile, its
// slot is freed.
func (q *Queue) Cancel(t *Ticket, now time.Time) {
	switch {
	case t.index >= 0:
		heap.Remove(&q.waiting, t.index)
		q.queuedServiceTime -= t.request.ServiceTime
		close(t.ready)
	case t.admitted:
		q.Release(now)
	}
}

// dispatch gives free slots to waiting tickets, and rejects those that can no
// longer meet their deadline.
func (q *Queue) dispatch(now time.Time) {
	for q.inUse < q.slots && len(q.waiting) > 0 {
		t, ok := heap.Pop(&q.waiting).(*Ticket)
		if !ok {
			panic("admit: heap element is not a *Ticket")
		}
		q.queuedServiceTime -= t.request.ServiceTime
		if now.Add(q.expectedDuration(t.request)).After(t.request.Deadline) {
			close(t.ready)
			continue
		}
		q.admit(t, now)
	}
	if len(q.waiting) == 0 && q.inUse == 0 {
		// The queue is idle: all customers start again with equal shares.
		clear(q.lastFinish)
		q.virtualTime = 0
	}
}

// Waiting returns the number of tickets without a slot.
func (q *Queue) Waiting() int { return len(q.waiting) }

// ticketHeap orders tickets by priority, then by virtual start, then by arrival.
type ticketHeap []*Ticket

var _ heap.Interface = (*ticketHeap)(nil)

// Len implements heap.Interface.
func (h ticketHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h ticketHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.seq < b.seq
}

// Swap implements heap.Interface.
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t, ok := x.(*Ticket)
	if !ok {
		panic("admit: heap element is not a *Ticket")
	}
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
