package pipeline

import (
	"math"
	"time"
)

const (
	// brokenSmoothing is the weight of the latest answer in the exponentially weighted
	// rate of broken answers of an engine. Two broken answers in a row tell an engine that
	// breaks all of them from one that broke a single one.
	brokenSmoothing = 0.5
	// brokenHalfLife is the half-life of a rate. It decays, so that an engine that gets no
	// streams is tried again.
	brokenHalfLife = 6 * time.Second
	// brokenCost is the cost of an engine that breaks all its answers. It exceeds the cost
	// of paths through full and slow engines, but such an engine is used if there is no
	// other.
	brokenCost = 2 * time.Second
	// outlierRate is the rate of broken answers from which on an engine is used only if
	// no other has capacity.
	outlierRate = 0.3
)

// brokenRate is the rate of broken answers of an engine as of a time.
type brokenRate struct {
	rate float64
	at   time.Time
}

// current returns the rate, which decays over time.
func (b brokenRate) current(now time.Time) float64 {
	return b.rate * math.Exp2(-float64(now.Sub(b.at))/float64(brokenHalfLife))
}

// RecordAnswer records whether the answer of the first engine of a path broke off before
// its head. Engines that do so may respond to checks nevertheless.
func (p *Planner) RecordAnswer(address string, broken bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, known := p.broken[address]
	if !known && !broken {
		return
	}
	target := 0.0
	if broken {
		target = 1
	}
	rate := b.current(now)
	b = brokenRate{rate: rate + brokenSmoothing*(target-rate), at: now}
	if b.rate < negligibleRate {
		delete(p.broken, address)
		return
	}
	p.broken[address] = b
}

// negligibleRate is the rate below which an engine is no longer remembered.
const negligibleRate = 0.01

// isOutlier reports whether an engine breaks so many of its answers that fuller engines
// are better.
func (p *Planner) isOutlier(address string, now time.Time) bool {
	b, known := p.broken[address]
	return known && b.current(now) >= outlierRate
}

// brokenPenalty returns the cost of the broken answers of an engine.
func (p *Planner) brokenPenalty(address string, now time.Time) float64 {
	b, known := p.broken[address]
	if !known {
		return 0
	}
	return float64(brokenCost) * b.current(now)
}

// expireBroken removes the rates that have become negligible.
func (p *Planner) expireBroken(now time.Time) {
	for address, b := range p.broken {
		if b.current(now) < negligibleRate {
			delete(p.broken, address)
		}
	}
}
