package feed

import (
	"math/rand/v2"
	"time"
)

const (
	// A failed store read is retried after initialDelay. The delay doubles with
	// each further failure up to maxDelay, or maxFollowerDelay on a follower,
	// and is jittered by half. A host whose connection was interrupted must
	// have all changes within 3 s of its recovery; a hanging read takes up to
	// 0.8 s of that, and connecting to another host 0.5 s.
	initialDelay     = 100 * time.Millisecond
	maxDelay         = 500 * time.Millisecond
	maxFollowerDelay = 700 * time.Millisecond
)

// Backoff computes the delay between failing store reads. The zero value is
// ready for use.
type Backoff struct {
	delay time.Duration
}

// RecordFailure records a failed read and returns how long to wait before the
// next one. follower is set on a host that receives the topic from another
// host.
func (b *Backoff) RecordFailure(follower bool) time.Duration {
	limit := maxDelay
	if follower {
		limit = maxFollowerDelay
	}
	b.delay = min(max(2*b.delay, initialDelay), limit)
	return b.delay/2 + rand.N(b.delay)
}

// RecordSuccess resets the delay after a successful read.
func (b *Backoff) RecordSuccess() { b.delay = 0 }
