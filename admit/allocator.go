package admit

import (
	"sync"
	"time"
)

// Allocator divides customers' rate limits and pools among hosts. It runs on the
// host that is responsible for a customer or a pool. The shares of the unexpired
// grants of one customer or pool never add up to more than 1. It is safe for
// concurrent use.
type Allocator struct {
	leaseTerm time.Duration

	mu sync.Mutex
	// grants maps the name of a customer or pool to the grants of its hosts, by
	// host.
	grants map[string]map[string]grant
}

// grant is one host's share of one customer's limit or of one pool.
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

// Grant records a host's demand for the customer or pool with the given name, and
// returns the share of the limit or of the pool that the host may use: its
// fraction of the demand of all hosts, as far as the unexpired grants of the
// others leave room.
func (a *Allocator) Grant(name, host string, demand float64, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	grants, ok := a.grants[name]
	if !ok {
		grants = map[string]grant{}
		a.grants[name] = grants
	}
	totalDemand, grantedToOthers := demand, 0.0
	for otherHost, other := range grants {
		if now.After(other.expires) {
			delete(grants, otherHost)
			continue
		}
		if otherHost != host {
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

// Expire removes expired grants, and customers and pools that have none left.
func (a *Allocator) Expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, grants := range a.grants {
		for host, g := range grants {
			if now.After(g.expires) {
				delete(grants, host)
			}
		}
		if len(grants) == 0 {
			delete(a.grants, name)
		}
	}
}
