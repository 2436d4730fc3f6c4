package serving

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// BaseSize is the number of hosts that are selected in a failure domain whose hosts
	// are not loaded. If half of them are lost, the rest can carry the load of all, as long
	// as each was at most half loaded.
	BaseSize = 8
	// loadedFraction is the fraction of the selected hosts that may be loaded before more
	// hosts are selected.
	loadedFraction = 0.25
	// growInterval is the time between two increases. It exceeds the time for which
	// callers use an answer, so that each increase takes effect before the next.
	growInterval = 2 * time.Second
	// shrinkInterval is how long the selected hosts must not be loaded before the size is
	// reduced, so that the size does not follow each burst.
	shrinkInterval = 10 * time.Second
)

// Host is a host that callers may connect to.
type Host struct {
	Address string
	// Capacity is the capacity of the host relative to others.
	Capacity float64
	// Loaded is set if the host reports that it is loaded.
	Loaded bool
}

// Select returns the n hosts with the highest capacity, and fewer if there are fewer. Hosts
// of equal capacity are ordered by a hash, so that a host that joins or leaves replaces at
// most one other.
func Select(hosts []Host, n int) []Host {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(rank(a.Address), rank(b.Address)), cmp.Compare(a.Address, b.Address))
	})
	return ranked[:min(max(n, 0), len(ranked))]
}

func rank(address string) uint64 { return xxhash.Sum64String("serving\x00" + address) }

// Subset tracks how many hosts of each failure domain are selected. It is safe for
// concurrent use.
type Subset struct {
	mu      sync.Mutex
	domains map[string]*domainSize
}

// domainSize is the number of selected hosts of one failure domain.
type domainSize struct {
	size int
	// changedAt is when the size was changed, and loadedAt when too many of the selected
	// hosts were loaded, for the last time.
	changedAt, loadedAt time.Time
}

// NewSubset returns a subset in which every failure domain has the base size.
func NewSubset() *Subset { return &Subset{domains: map[string]*domainSize{}} }

// Select returns the selected hosts of a failure domain, given all its hosts.
func (s *Subset) Select(domain string, hosts []Host, now time.Time) []Host {
	if len(hosts) <= BaseSize {
		return Select(hosts, len(hosts))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.domains[domain]
	if !ok {
		d = &domainSize{size: BaseSize}
		s.domains[domain] = d
	}
	d.adjust(hosts, now)
	return Select(hosts, d.size)
}

// adjust doubles the size while too many of the selected hosts are loaded, and halves it
// once they have not been for some time.
func (d *domainSize) adjust(hosts []Host, now time.Time) {
	selected := Select(hosts, d.size)
	loaded := 0
	for _, h := range selected {
		if h.Loaded {
			loaded++
		}
	}
	if float64(loaded) > loadedFraction*float64(len(selected)) {
		d.loadedAt = now
		if d.size < len(hosts) && now.Sub(d.changedAt) >= growInterval {
			d.size, d.changedAt = d.size*2, now
		}
		return
	}
	if d.size > BaseSize && now.Sub(d.loadedAt) >= shrinkInterval && now.Sub(d.changedAt) >= shrinkInterval {
		d.size, d.changedAt = max(d.size/2, BaseSize), now
	}
}
