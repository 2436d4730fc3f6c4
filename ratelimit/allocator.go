package ratelimit

import (
	"maps"
	"sync"
	"time"
)

const (
	// burstWindow is the time whose requests an idle replica may get at once, beside the
	// first one.
	burstWindow = 250 * time.Millisecond
	// maxUrgentAhead is how many requests an urgent one may be ahead of the rate.
	maxUrgentAhead = 2
	// fallbackShare is the share of a limit that a host grants that is responsible only
	// because another one cannot be reached.
	fallbackShare = 0.4
	// maxSchedules bounds the replicas for which a host grants requests.
	maxSchedules = 2048
)

// Question asks for a permit for one request.
type Question struct {
	// Replica identifies the incarnation of the replica.
	Replica string `cbor:"replica"`
	// Rate is the limit known to the asking host, in requests per second.
	Rate float64 `cbor:"rate"`
	// MaxWaitMS is how long the request may wait for its turn.
	MaxWaitMS int64 `cbor:"max_wait_ms,omitempty"`
	// Urgent requests may be ahead of the rate for a moment; later ones make up for it.
	Urgent bool `cbor:"urgent,omitempty"`
	// Fallback is set if the host responsible for the replica cannot be reached.
	Fallback bool `cbor:"fallback,omitempty"`
}

// Permit is the answer to a Question.
type Permit struct {
	Granted bool `cbor:"granted"`
	// WaitMS is the time, in ms, after which a granted request may be sent, or after which
	// one may be granted that was not.
	WaitMS int64 `cbor:"wait_ms"`
}

// Wait returns WaitMS as a duration.
func (p Permit) Wait() time.Duration { return time.Duration(p.WaitMS) * time.Millisecond }

// Allocator grants the requests to the replicas that this host is responsible for. It is
// safe for concurrent use.
type Allocator struct {
	mu sync.Mutex
	// next has, by replica, when its next request would be due if all came evenly.
	next map[string]time.Time
}

// NewAllocator returns an allocator that has granted nothing.
func NewAllocator() *Allocator { return &Allocator{next: map[string]time.Time{}} }

// Decide answers a question. rate is the limit in requests per second.
func (a *Allocator) Decide(q Question, rate float64, now time.Time) Permit {
	if !(rate >= minRate) {
		rate = minRate
	}
	if q.Fallback {
		rate *= fallbackShare
	}
	interval := time.Duration(float64(time.Second) / rate)
	a.mu.Lock()
	defer a.mu.Unlock()
	next, known := a.next[q.Replica]
	if !known {
		a.makeRoom(now)
		next = now.Add(burstWindow)
	}
	wait := max(next.Add(-burstWindow).Sub(now), 0)
	ahead := time.Duration(0)
	if q.Urgent {
		ahead = maxUrgentAhead * interval
	}
	if wait-ahead > time.Duration(q.MaxWaitMS)*time.Millisecond {
		return Permit{WaitMS: roundUpMS(wait - ahead)}
	}
	if next.Before(now) {
		next = now
	}
	a.next[q.Replica] = next.Add(interval)
	return Permit{Granted: true, WaitMS: roundUpMS(max(wait-ahead, 0))}
}

// makeRoom forgets the replicas that could get a full burst, or all if there are still too
// many.
func (a *Allocator) makeRoom(now time.Time) {
	if len(a.next) < maxSchedules {
		return
	}
	maps.DeleteFunc(a.next, func(_ string, next time.Time) bool { return next.Before(now) })
	if len(a.next) >= maxSchedules {
		clear(a.next)
	}
}

func roundUpMS(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }
