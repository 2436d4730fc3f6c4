package admit

import (
	"sync"
	"time"
)

// Broker hands out parts of customers' limits to hosts, on the one host that is
// responsible for a customer. The parts that it has handed out and that still
// count never add up to more than the whole. It is safe for concurrent use.
type Broker struct {
	life time.Duration

	mu    sync.Mutex
	parts map[string]map[string]part
}

// part is what one host has of one customer's limit.
type part struct {
	demand float64
	share  float64
	until  time.Time
}

// NewBroker returns a broker whose parts count for a time after each grant.
func NewBroker(life time.Duration) *Broker {
	return &Broker{life: life, parts: map[string]map[string]part{}}
}

// Grant returns the part of a customer's limit that a host may use, by its
// demand beside that of the others.
func (b *Broker) Grant(customer, host string, demand float64, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	parts, ok := b.parts[customer]
	if !ok {
		parts = map[string]part{}
		b.parts[customer] = parts
	}
	total, granted := demand, 0.0
	for name, p := range parts {
		if now.After(p.until) {
			delete(parts, name)
			continue
		}
		if name != host {
			total += p.demand
			granted += p.share
		}
	}
	share := 0.0
	if total > 0 {
		share = demand / total
	}
	// What others still have comes first; it shrinks as they ask again.
	share = max(min(share, 1-granted), 0)
	parts[host] = part{demand: demand, share: share, until: now.Add(b.life)}
	return share
}

// Expire drops customers that no host has asked for lately.
func (b *Broker) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for customer, parts := range b.parts {
		for name, p := range parts {
			if now.After(p.until) {
				delete(parts, name)
			}
		}
		if len(parts) == 0 {
			delete(b.parts, customer)
		}
	}
}
