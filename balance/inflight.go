package balance

import (
	"maps"
	"sync"

	"bulrushshed/route"
)

// Inflight counts this host's work on each endpoint, in concurrent requests. Each
// token of a stream passes through the hops of its route one after another, so a
// stream adds to each hop only the share of its time that it spends there. It is
// safe for concurrent use.
type Inflight struct {
	mu   sync.Mutex
	work map[string]float64
	// requests counts whole requests. An endpoint without any is removed, so
	// that no rounding error of its work remains.
	requests map[string]int
}

// NewInflight returns counts that are all zero.
func NewInflight() *Inflight {
	return &Inflight{work: map[string]float64{}, requests: map[string]int{}}
}

// Add counts a request on one endpoint until the returned function is called.
func (f *Inflight) Add(endpoint string) (release func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adjust(endpoint, 1, 1)
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.adjust(endpoint, -1, -1)
	})
}

// AddRoute counts a stream on a route until the returned function is called.
func (f *Inflight) AddRoute(r *route.Route) (release func()) {
	weights := r.TimeShares()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, h := range r.Hops {
		f.adjust(h.Endpoint, weights[i], 1)
	}
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for i, h := range r.Hops {
			f.adjust(h.Endpoint, -weights[i], -1)
		}
	})
}

func (f *Inflight) adjust(endpoint string, work float64, requests int) {
	f.work[endpoint] += work
	f.requests[endpoint] += requests
	if f.requests[endpoint] == 0 {
		delete(f.work, endpoint)
		delete(f.requests, endpoint)
	}
}

// Work returns the work on one endpoint.
func (f *Inflight) Work(endpoint string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.work[endpoint]
}

// Snapshot returns a copy of all counts.
func (f *Inflight) Snapshot() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.work)
}
