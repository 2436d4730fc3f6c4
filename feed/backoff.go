package feed

import (
	"math/rand/v2"
	"time"
)

const (
	// firstPause is the pause behind a read of the store that failed; it doubles
	// with each further one up to mostPause, or to fedPause on a host that
	// another one feeds, and varies by half. A host that was cut off must know
	// all news 3 s behind the end of the cut, of which a read that hangs takes
	// 0.8 s and a connection to another host 0.5 s.
	firstPause = 100 * time.Millisecond
	mostPause  = 500 * time.Millisecond
	fedPause   = 700 * time.Millisecond
)

// Backoff spaces reads of the store that fail. The zero value is ready for use.
type Backoff struct {
	pause time.Duration
}

// Failed returns how long to wait behind one more read that failed; fed is set on a
// host that another one feeds.
func (b *Backoff) Failed(fed bool) time.Duration {
	most := mostPause
	if fed {
		most = fedPause
	}
	b.pause = min(max(2*b.pause, firstPause), most)
	return b.pause/2 + rand.N(b.pause)
}

// Succeeded notes a read that did not fail.
func (b *Backoff) Succeeded() { b.pause = 0 }
