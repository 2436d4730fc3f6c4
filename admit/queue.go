package admit

import (
	"container/heap"
	"time"
)

// Request is a request that wants a place.
type Request struct {
	Customer string
	// Priority orders asks; a higher one goes first.
	Priority int
	// Weight is the share of places that a customer gets beside others; 0
	// counts as 1.
	Weight float64
	// Service is how long the request is expected to hold its place.
	Service  time.Duration
	Deadline time.Time
}

// Ticket is an ask that waits or has a place.
type Ticket struct {
	ask Request
	// start and finish are in virtual time: the service that a customer with
	// weight 1 had so far.
	start, finish float64
	// seq keeps the order of asks that are equal otherwise.
	seq int64
	// index is the place in the heap, or -1.
	index int
	// ready is closed once the ticket is settled; admitted says how, and
	// since when.
	ready    chan struct{}
	admitted bool
	since    time.Time
}

// Ready is closed once the ticket has a place or is refused.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Admitted reports whether the ticket has a place; call it only once Ready is
// closed.
func (t *Ticket) Admitted() bool { return t.admitted }

// Queue hands out places. It is not safe for concurrent use.
type Queue struct {
	places int
	taken  int
	seq    int64
	// waiting are the tickets without a place, the next one first.
	waiting ticketHeap
	// virtual is the start of the ticket that last got a place.
	virtual float64
	// finished is the finish of each customer's last ticket.
	finished map[string]float64
	// backlog is the sum of the service of all that wait.
	backlog time.Duration
	// pace is how long requests take in truth, as a share of what was
	// expected.
	pace float64
}

const (
	// paceWeight is the weight of the newest request in the pace.
	paceWeight = 0.05
	// maxPace bounds what a few odd requests can make of it.
	maxPace = 4
	// slack is what a request is expected to take beyond the mean, when its
	// deadline is looked at: half of all take longer than the mean.
	slack = 1.1
)

// takes is how long a request is expected to hold its place.
func (q *Queue) takes(a Request) time.Duration {
	return time.Duration(float64(a.Service) * q.pace * slack)
}

// Served tells that a request with a place was served to its end.
func (q *Queue) Served(t *Ticket, now time.Time) {
	if t.ask.Service <= 0 {
		return
	}
	ratio := float64(now.Sub(t.since)) / float64(t.ask.Service)
	q.pace += paceWeight * (min(ratio, maxPace) - q.pace)
}

// NewQueue returns a queue with a number of places.
func NewQueue(places int) *Queue {
	return &Queue{places: places, finished: map[string]float64{}, pace: 1}
}

// Resize changes the number of places. Nobody who has one loses it.
func (q *Queue) Resize(places int, now time.Time) {
	q.places = places
	q.fill(now)
}

// Wait is the expected wait of a request that came now.
func (q *Queue) Wait() time.Duration {
	if q.taken < q.places {
		return 0
	}
	return time.Duration(float64(q.backlog) * q.pace / float64(max(q.places, 1)))
}

// Enter takes a place or a ticket; ok is false if the deadline can't be met.
func (q *Queue) Enter(a Request, now time.Time) (t *Ticket, ok bool) {
	if q.places <= 0 || now.Add(q.ahead(a)+q.takes(a)).After(a.Deadline) {
		return nil, false
	}
	t = q.ticket(a)
	if q.taken < q.places && len(q.waiting) == 0 {
		q.admit(t, now)
		return t, true
	}
	heap.Push(&q.waiting, t)
	q.backlog += a.Service
	return t, true
}

// ahead is the expected wait of an ask: of those that wait, only some go first.
func (q *Queue) ahead(a Request) time.Duration {
	if q.taken < q.places {
		return 0
	}
	start := q.startOf(a)
	var sum time.Duration
	for _, t := range q.waiting {
		if t.ask.Priority > a.Priority || t.ask.Priority == a.Priority && t.start <= start {
			sum += t.ask.Service
		}
	}
	return time.Duration(float64(sum) * q.pace / float64(q.places))
}

func (q *Queue) startOf(a Request) float64 { return max(q.virtual, q.finished[a.Customer]) }

func (q *Queue) ticket(a Request) *Ticket {
	if a.Weight <= 0 {
		a.Weight = 1
	}
	q.seq++
	start := q.startOf(a)
	t := &Ticket{ask: a, start: start, finish: start + a.Service.Seconds()/a.Weight, seq: q.seq, index: -1, ready: make(chan struct{})}
	q.finished[a.Customer] = t.finish
	return t
}

func (q *Queue) admit(t *Ticket, now time.Time) {
	q.taken++
	q.virtual = max(q.virtual, t.start)
	t.admitted = true
	t.since = now
	close(t.ready)
}

// Leave gives a place back.
func (q *Queue) Leave(now time.Time) {
	q.taken--
	q.fill(now)
}

// Abandon takes a ticket out of the queue; if it has got a place meanwhile, the
// place is given back.
func (q *Queue) Abandon(t *Ticket, now time.Time) {
	switch {
	case t.index >= 0:
		heap.Remove(&q.waiting, t.index)
		q.backlog -= t.ask.Service
		close(t.ready)
	case t.admitted:
		q.Leave(now)
	}
}

// fill hands free places to those that wait, and refuses those that waited for
// too long to be served in time.
func (q *Queue) fill(now time.Time) {
	for q.taken < q.places && len(q.waiting) > 0 {
		t, ok := heap.Pop(&q.waiting).(*Ticket)
		if !ok {
			panic("admit: the heap holds tickets only")
		}
		q.backlog -= t.ask.Service
		if now.Add(q.takes(t.ask)).After(t.ask.Deadline) {
			close(t.ready)
			continue
		}
		q.admit(t, now)
	}
	if len(q.waiting) == 0 && q.taken == 0 {
		// Nobody is owed anything.
		clear(q.finished)
		q.virtual = 0
	}
}

// Waiting returns the number of tickets without a place.
func (q *Queue) Waiting() int { return len(q.waiting) }

// ticketHeap orders tickets by priority, and then by start.
type ticketHeap []*Ticket

var _ heap.Interface = (*ticketHeap)(nil)

// Len is part of heap.Interface.
func (h ticketHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h ticketHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.ask.Priority != b.ask.Priority {
		return a.ask.Priority > b.ask.Priority
	}
	if a.start != b.start {
		return a.start < b.start
	}
	return a.seq < b.seq
}

// Swap is part of heap.Interface.
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is part of heap.Interface.
func (h *ticketHeap) Push(x any) {
	t, ok := x.(*Ticket)
	if !ok {
		panic("admit: the heap holds tickets only")
	}
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop is part of heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
