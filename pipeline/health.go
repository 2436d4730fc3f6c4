package pipeline

import "time"

// suspicion says since when and until when an engine is left out.
type suspicion struct {
	since time.Time
	until time.Time
}

// report is an engine's own word, as of a time.
type report struct {
	slowness float64
	full     float64
	at       time.Time
}

// used is the share of an engine's KV cache that is in use, and what a stream of some
// tokens adds to it by each layer: by its own word, if that is recent, or else as if
// the hosts of this failure domain had as much there as this one.
func (p *Planner) used(address string, room, tokens, near float64, now time.Time) (used, more float64) {
	room = max(room, 1)
	if r, ok := p.reports[address]; ok && now.Sub(r.at) <= fullLife {
		return r.full, near * tokens / room
	}
	return near * p.cells[address] / room, tokens / room
}

// mostOthers is the greatest share of other failure domains' KV caches that is
// taken to be in use without their word: where the own domain is full, they are
// worth a try.
const mostOthers = 0.7

// usedNear is the share of the KV caches of this failure domain that is in use.
// The hosts of other domains are taken to use theirs as much, up to a bound.
func (p *Planner) usedNear(known *maps, near float64) float64 {
	cells, room := 0.0, 1.0
	for _, address := range known.near {
		cells += p.cells[address]
		room += known.room[address]
	}
	return min(near*cells/room, mostOthers)
}

func (p *Planner) slowness(address string) float64 {
	if r, ok := p.reports[address]; ok {
		return max(r.slowness*r.slowness, 1)
	}
	return 1
}

// Reported takes an engine's own word: how many times slower than usual it is,
// and which share of its KV cache is in use.
func (p *Planner) Reported(address string, slowness, full float64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports[address] = report{slowness: slowness, full: full, at: now}
}

const (
	// slowLife is how long an engine that said that it is slow counts as such,
	// and fullLife how long its word of its KV cache is used.
	slowLife = 6 * time.Second
	fullLife = 2500 * time.Millisecond
)

// Slow reports whether an engine said lately that it is slow.
func (p *Planner) Slow(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reports[address].slowness >= slowFrom
}

// slowFrom is the slowness from which on a stream leaves an engine.
const slowFrom = 2

// Suspect leaves an engine out of new paths until a time.
func (p *Planner) Suspect(address string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(time.Now())
	known, ok := p.suspects[address]
	if !ok {
		known.since = time.Now()
	}
	if until.After(known.until) {
		known.until = until
	}
	p.suspects[address] = known
}

// goneAfter is how long an engine must have been suspected to count as gone.
const goneAfter = 900 * time.Millisecond

// Gone reports whether an engine has been suspected for long.
func (p *Planner) Gone(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(now)
	known, ok := p.suspects[address]
	return ok && now.Sub(known.since) >= goneAfter
}

func (p *Planner) forget(now time.Time) {
	for address, known := range p.suspects {
		if !now.Before(known.until) {
			delete(p.suspects, address)
		}
	}
	for address, r := range p.reports {
		if now.Sub(r.at) > slowLife {
			delete(p.reports, address)
		}
	}
}
