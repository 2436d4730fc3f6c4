package balance

import (
	"maps"
	"sync"

	"bulrushshed/route"
)

// Inflight counts the work of this host on each endpoint. It is safe for
// concurrent use.
type Inflight struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewInflight returns counts of zero.
func NewInflight() *Inflight {
	return &Inflight{counts: map[string]int{}}
}

// Add counts work on endpoints until the returned function is called.
func (f *Inflight) Add(endpoints ...string) (release func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range endpoints {
		f.counts[e]++
	}
	return sync.OnceFunc(func() { f.drop(endpoints) })
}

func (f *Inflight) drop(endpoints []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range endpoints {
		if f.counts[e]--; f.counts[e] == 0 {
			delete(f.counts, e)
		}
	}
}

// Of returns the work on one endpoint.
func (f *Inflight) Of(endpoint string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[endpoint]
}

// All returns a copy of all counts.
func (f *Inflight) All() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.counts)
}

// Endpoints returns the endpoints of a route.
func Endpoints(r route.Route) []string {
	names := make([]string, 0, len(r.Hops))
	for _, h := range r.Hops {
		names = append(names, h.Endpoint)
	}
	return names
}
