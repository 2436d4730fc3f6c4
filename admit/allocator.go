package admit

import (
	"sync"
	"time"
)

// Allocator divides customers' rate limits among hosts. It runs on the host that
// is responsible for a customer. The shares of a customer's unexpired grants
// never add up to more than 1. It is safe for concurrent use.
type Allocator struct {
	leaseTerm time.Duration

	mu     sync.Mutex
	grants map[string]map[string]grant
}

// grant is one host's share of one customer's limit.
type grant struct {
	demand  float64
	share   float64
	expires time.Time
}

// NewAllocator returns an allocator whose grants expire leaseTerm after they are
// made.
func NewAllocator(leaseTerm time.Duration) *Allocator {
	return &Allocator{leaseTerm: leaseTerm, grants: map[string]map[string]grant{}}
}

// Grant returns the share of a customer's limit that a host may use, in
// proportion to its demand among all hosts.
func (a *Allocator) Grant(customer, host string, demand float64, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	grants, ok := a.grants[customer]
	if !ok {
		grants = map[string]grant{}
		a.grants[customer] = grants
	}
	totalDemand, grantedToOthers := demand, 0.0
	for name, other := range grants {
		if now.After(other.expires) {
			delete(grants, name)
			continue
		}
		if name != host {
			totalDemand += other.demand
			grantedToOthers += other.share
		}
	}
	share := 0.0
	if totalDemand > 0 {
		share = demand / totalDemand
	}
	// Unexpired grants of other hosts take precedence; they shrink when those
	// hosts renew them.
	share = max(min(share, 1-grantedToOthers), 0)
	grants[host] = grant{demand: demand, share: share, expires: now.Add(a.leaseTerm)}
	return share
}

// Expire removes expired grants, and customers that have none left.
func (a *Allocator) Expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for customer, grants := range a.grants {
		for name, g := range grants {
			if now.After(g.expires) {
				delete(grants, name)
			}
		}
		if len(grants) == 0 {
			delete(a.grants, customer)
		}
	}
}
