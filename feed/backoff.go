package feed

import (
	"math/rand/v2"
	"time"
)

const (
	// A failed store read is retried after initialDelay. The delay grows with
	// each further failure up to the limit of the host's Role, and is jittered by
	// half. A host whose connection was interrupted must have all changes within
	// 3 s of its recovery; a hanging read takes up to 0.8 s of that, and
	// connecting to another host 0.5 s.
	initialDelay     = 100 * time.Millisecond
	maxDelay         = 500 * time.Millisecond
	maxFollowerDelay = 700 * time.Millisecond
	// A follower whose source responds learns of the end of an outage from the
	// source, so it reads the store only in case the store refuses the source alone.
	// It needs no connection to another host after that.
	maxWaitingDelay = 1400 * time.Millisecond
	// growth is the factor by which the delay grows, and waitingGrowth that of a
	// follower whose source responds.
	growth        = 2
	waitingGrowth = 4
)

// Role tells from whom a host receives a topic while it can't read the store.
type Role int

// The roles of a host.
const (
	// Reader receives the topic from the store alone.
	Reader Role = iota
	// Follower has a source that does not respond.
	Follower
	// WaitingFollower has a source that responds, but can't read the store either.
	WaitingFollower
)

// limits returns the limit of the delay and its growth.
func (r Role) limits() (limit time.Duration, factor time.Duration) {
	switch r {
	case Follower:
		return maxFollowerDelay, growth
	case WaitingFollower:
		return maxWaitingDelay, waitingGrowth
	case Reader:
	}
	return maxDelay, growth
}

// Backoff computes the delay between failing store reads. The zero value is
// ready for use.
type Backoff struct {
	delay time.Duration
}

// RecordFailure records a failed read and returns how long to wait before the
// next one.
func (b *Backoff) RecordFailure(r Role) time.Duration {
	limit, factor := r.limits()
	b.delay = min(max(factor*b.delay, initialDelay), limit)
	return b.delay/2 + rand.N(b.delay)
}

// RecordSuccess resets the delay after a successful read.
func (b *Backoff) RecordSuccess() { b.delay = 0 }
