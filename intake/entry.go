package intake

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant with which the recent rate of arrival decays.
	rateWindow = time.Second
	// startCredit is counted as arrived when an entry is opened, so that a request is not
	// evicted before it can have made progress.
	startCredit = 64 << 10
	// minEvictCost is the cost below which no entry is evicted. Without it, bodies that
	// arrive at a good rate would evict each other just before they are complete, and none
	// would be served under pressure.
	minEvictCost = 2 * time.Second
	// stalledWrite is the time without progress after which a response may be evicted.
	stalledWrite = 5 * time.Second
)

// Entry is the account of one request. Its fields belong to the ledger; the zero value is
// an entry that is not open.
type Entry struct {
	holder Holder
	open   bool
	// place is the index in Ledger.entries.
	place int
	// held has all reserved bytes, and response the part that the response holds.
	held     int
	response int
	// reading is set until the request has been read completely. evicted is set when the
	// entry is evicted.
	reading bool
	evicted bool
	// recent is the number of bytes that have arrived, decayed to observedAt by rateWindow.
	recent     float64
	observedAt time.Time
	// writingSince is when the pending write of the response began, or zero.
	writingSince time.Time
	// ready is closed when the wait for wanted bytes ends. It is nil if the entry does not
	// wait. granted is set if it has ended with the bytes.
	ready    chan struct{}
	wanted   int
	waitEnds time.Time
	granted  bool
}

// recentAt returns the bytes that have arrived recently. The time that an entry waits for
// memory does not count, as its bytes cannot be read meanwhile.
func (e *Entry) recentAt(now time.Time) float64 {
	if e.ready != nil {
		return e.recent
	}
	return e.recent * math.Exp(-max(now.Sub(e.observedAt), 0).Seconds()/rateWindow.Seconds())
}

// costAt returns the cost of an entry relative to its progress: the time in which its
// bytes arrive at the recent rate.
func (e *Entry) costAt(now time.Time) time.Duration {
	const limit = 1e6 // seconds
	cost := float64(e.held) / max(e.recentAt(now)/rateWindow.Seconds(), 1)
	return time.Duration(min(cost, limit) * float64(time.Second))
}

// isWriteStalled reports whether the caller has not read for a while.
func (e *Entry) isWriteStalled(now time.Time) bool {
	return !e.writingSince.IsZero() && now.Sub(e.writingSince) >= stalledWrite
}
