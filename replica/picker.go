package replica

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// failureWeight is how many requests at a time a replica counts for that
	// fails all its requests.
	failureWeight = 12
	// failureStep is the share by which one outcome moves the failure rate.
	failureStep = 0.25
	// failureHalfLife is the time in which a failure rate halves by itself, so
	// that a replica that gets no requests is tried again.
	failureHalfLife = 4 * time.Second
	// otherDomain is what a replica in another failure domain counts for
	// beside its requests.
	otherDomain = 0.7
	// jitter spreads choices among equals.
	jitter = 0.3
)

// Picker chooses replicas of plain services; it is safe for concurrent use.
type Picker struct {
	domain string

	mu    sync.Mutex
	stats map[string]*stat
}

// stat is what this host knows of one replica.
type stat struct {
	running int
	// failures is the rate of failed requests as of a time.
	failures float64
	at       time.Time
}

// NewPicker returns a picker for a host in a failure domain.
func NewPicker(domain string) *Picker {
	return &Picker{domain: domain, stats: map[string]*stat{}}
}

func (p *Picker) stat(id string) *stat {
	s, ok := p.stats[id]
	if !ok {
		s = &stat{}
		p.stats[id] = s
	}
	return s
}

func (s *stat) rate(now time.Time) float64 {
	return s.failures * math.Exp2(-float64(now.Sub(s.at))/float64(failureHalfLife))
}

// Pick returns the best replica that is not in tried, and counts a request on
// it until done is called with whether it failed.
func (p *Picker) Pick(all []Replica, tried map[string]bool, now time.Time) (r Replica, done func(failed bool), ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := math.Inf(1)
	for _, c := range all {
		if tried[c.ID] {
			continue
		}
		s := p.stat(c.ID)
		cost := float64(s.running) + failureWeight*s.rate(now) + jitter*rand.Float64()
		if c.FailureDomain != p.domain {
			cost += otherDomain
		}
		if cost < best {
			best, r, ok = cost, c, true
		}
	}
	if !ok {
		return Replica{}, nil, false
	}
	s := p.stat(r.ID)
	s.running++
	return r, p.finish(s), true
}

// finish returns the end of one request.
func (p *Picker) finish(s *stat) func(failed bool) {
	var once sync.Once
	return func(failed bool) {
		once.Do(func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			now := time.Now()
			rate := s.rate(now)
			target := 0.0
			if failed {
				target = 1
			}
			s.failures = rate + failureStep*(target-rate)
			s.at = now
			s.running--
		})
	}
}

// Keep forgets all replicas but those of a view.
func (p *Picker) Keep(v *View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, r := range v.byAddress {
		listed[r.ID] = true
	}
	for id, s := range p.stats {
		if !listed[id] && s.running == 0 {
			delete(p.stats, id)
		}
	}
}
