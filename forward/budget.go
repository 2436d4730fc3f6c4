package forward

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets into which a window is divided.
	windowBuckets = 10
	// storedBuckets includes one more bucket: as the newest one is incomplete,
	// retries count for longer than a window, and never for less.
	storedBuckets = windowBuckets + 1
)

// BudgetOptions limit the sends beyond the first of each request.
type BudgetOptions struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Extra is the number of additional retries per window for all hosts together.
	Extra  float64
	Window time.Duration
	// StartedAt is when the host started. Retries made before a restart in the same
	// window are not known, so a host earns its share of Extra over one window.
	StartedAt time.Time
	// Hosts returns the number of hosts that share Extra.
	Hosts func() int
}

// Budget limits the number of retries per service. Each host counts only its own
// requests and its share of Extra, so that the total limit holds without
// coordination. It is safe for concurrent use.
type Budget struct {
	opts BudgetOptions

	mu       sync.Mutex
	services map[string]*window
}

// window counts the requests and retries in the latest buckets.
type window struct {
	requests [storedBuckets]float64
	retries  [storedBuckets]float64
	// newest is the number of the newest bucket.
	newest int64
}

// NewBudget returns a budget without any counts.
func NewBudget(opts BudgetOptions) *Budget {
	return &Budget{opts: opts, services: map[string]*window{}}
}

func (b *Budget) window(service string, now time.Time) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	bucket := now.UnixNano() / int64(b.opts.Window/windowBuckets)
	for w.newest < bucket {
		w.newest = max(w.newest+1, bucket-storedBuckets+1)
		w.requests[w.newest%storedBuckets] = 0
		w.retries[w.newest%storedBuckets] = 0
	}
	return w
}

// RecordRequest counts a request of a caller.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.newest%storedBuckets]++
}

// AllowRetry reports whether a request may be sent once more, and counts it if so.
func (b *Budget) AllowRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	requests, spent := 0.0, 0.0
	for i := range storedBuckets {
		spent += w.retries[i]
		if int64(i) != (w.newest+1)%storedBuckets {
			// The oldest bucket is partly outside the window.
			requests += w.requests[i]
		}
	}
	earned := min(float64(now.Sub(b.opts.StartedAt))/float64(b.opts.Window), 1)
	allowed := b.opts.Ratio*requests + earned*b.opts.Extra/float64(max(b.opts.Hosts(), 1))
	if spent+1 > allowed {
		return false
	}
	w.retries[w.newest%storedBuckets]++
	return true
}
