package replica

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// failurePenalty is the cost, in concurrent requests, of a replica that
	// fails all its requests.
	failurePenalty = 12
	// failureSmoothing is the weight of the latest outcome in the
	// exponentially weighted failure rate.
	failureSmoothing = 0.25
	// failureHalfLife is the half-life of a failure rate. The rate decays so
	// that a replica that receives no requests is tried again.
	failureHalfLife = 4 * time.Second
	// remoteDomainPenalty is the additional cost, in concurrent requests, of a
	// replica in another failure domain.
	remoteDomainPenalty = 0.7
	// jitter is the range of the random cost that distributes requests among
	// replicas of about equal cost.
	jitter = 0.3
)

// Picker selects replicas of plain services. It is safe for concurrent use.
type Picker struct {
	domain string

	mu    sync.Mutex
	stats map[string]*replicaStats
}

// replicaStats holds what this host has observed of one replica.
type replicaStats struct {
	// inFlight is the number of requests in flight.
	inFlight int
	// lastRate is the failure rate as of updatedAt.
	lastRate  float64
	updatedAt time.Time
}

// NewPicker returns a picker for a host in the given failure domain.
func NewPicker(domain string) *Picker {
	return &Picker{domain: domain, stats: map[string]*replicaStats{}}
}

func (p *Picker) getOrCreateStats(id string) *replicaStats {
	s, ok := p.stats[id]
	if !ok {
		s = &replicaStats{}
		p.stats[id] = s
	}
	return s
}

// failureRate returns the failure rate, which decays from lastRate over time.
func (s *replicaStats) failureRate(now time.Time) float64 {
	return s.lastRate * math.Exp2(-float64(now.Sub(s.updatedAt))/float64(failureHalfLife))
}

// Pending is a request that counts as in flight at a replica until Done or Cancel is
// called.
type Pending struct {
	picker *Picker
	stats  *replicaStats
	once   sync.Once
}

// Pick returns the replica of lowest cost whose ID is not in tried; ok is false
// if there is none. The request counts as in flight at the replica.
func (p *Picker) Pick(all []Replica, tried map[string]bool, now time.Time) (r Replica, pending *Pending, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := math.Inf(1)
	for _, c := range all {
		if tried[c.ID] {
			continue
		}
		s := p.getOrCreateStats(c.ID)
		cost := float64(s.inFlight) + failurePenalty*s.failureRate(now) + jitter*rand.Float64()
		if c.FailureDomain != p.domain {
			cost += remoteDomainPenalty
		}
		if cost < best {
			best, r, ok = cost, c, true
		}
	}
	if !ok {
		return Replica{}, nil, false
	}
	s := p.getOrCreateStats(r.ID)
	s.inFlight++
	return r, &Pending{picker: p, stats: s}, true
}

// Done ends the request and records whether it failed. Only the first call of Done or
// Cancel has an effect.
func (p *Pending) Done(failed bool) {
	p.once.Do(func() {
		p.picker.mu.Lock()
		defer p.picker.mu.Unlock()
		now := time.Now()
		rate := p.stats.failureRate(now)
		target := 0.0
		if failed {
			target = 1
		}
		p.stats.lastRate = rate + failureSmoothing*(target-rate)
		p.stats.updatedAt = now
		p.stats.inFlight--
	})
}

// Cancel ends a request that was not sent.
func (p *Pending) Cancel() {
	p.once.Do(func() {
		p.picker.mu.Lock()
		defer p.picker.mu.Unlock()
		p.stats.inFlight--
	})
}

// RemoveUnlisted deletes the statistics of replicas that are not in the view
// and have no requests in flight.
func (p *Picker) RemoveUnlisted(v *View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, r := range v.byAddress {
		listed[r.ID] = true
	}
	for id, s := range p.stats {
		if !listed[id] && s.inFlight == 0 {
			delete(p.stats, id)
		}
	}
}
