package pipeline

import (
	"time"

	"bulrushshed/usage"
)

// suspicion is the period during which an engine is excluded from new paths.
type suspicion struct {
	since time.Time
	until time.Time
	// busy is set if the engine only lacked capacity.
	busy bool
}

// report is the state that an engine last reported about itself.
type report struct {
	slowness    float64
	utilization float64
	at          time.Time
}

// utilization returns the share of an engine's KV cache that is in use, and the
// share that a stream of the given length adds for each layer.
//
// If the engine's report is recent, the first is the reported share, and the second
// is counted for each host of this failure domain. Otherwise the first is that of all
// hosts of this failure domain, as localCells estimates it, and the second is that of
// this stream alone.
func (p *Planner) utilization(graphs *serviceGraphs, address string, tokens float64, others *usage.Load, now time.Time) (used, perLayer float64) {
	capacity := max(graphs.capacity[address], 1)
	if r, ok := p.reports[address]; ok && now.Sub(r.at) <= utilizationTTL {
		return r.utilization, float64(max(p.opts.LocalHosts(), 1)) * tokens / capacity
	}
	return p.localCells(graphs, address, others) / capacity, tokens / capacity
}

// maxAssumedUtilization bounds the KV cache utilization that is assumed for other
// failure domains without a report, so that they are still tried when the local
// domain is full.
const maxAssumedUtilization = 0.7

// localUtilization returns the KV cache utilization of this failure domain. Hosts
// of other domains are assumed to use theirs as much, up to maxAssumedUtilization.
func (p *Planner) localUtilization(graphs *serviceGraphs, others *usage.Load) float64 {
	cells, capacity := 0.0, 1.0
	for _, address := range graphs.local {
		cells += p.localCells(graphs, address, others)
		capacity += graphs.capacity[address]
	}
	return min(cells/capacity, maxAssumedUtilization)
}

// slownessFactor returns the factor by which an engine's report raises the cost of
// its layers: the square of its slowness, but at least 1.
func (p *Planner) slownessFactor(address string) float64 {
	if r, ok := p.reports[address]; ok {
		return max(r.slowness*r.slowness, 1)
	}
	return 1
}

// RecordReport stores what an engine reports: how many times slower than usual it
// is, and the share of its KV cache that is in use.
func (p *Planner) RecordReport(address string, slowness, utilization float64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports[address] = report{slowness: slowness, utilization: utilization, at: now}
}

const (
	// slownessTTL is how long a reported slowness is used, and utilizationTTL how
	// long a reported KV cache utilization is.
	slownessTTL    = 6 * time.Second
	utilizationTTL = 2500 * time.Millisecond
)

// Slow reports whether an engine recently reported that it is slow.
func (p *Planner) Slow(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reports[address].slowness >= slowThreshold
}

// slowThreshold is the slowness from which on streams are moved off an engine.
const slowThreshold = 2

// Suspect excludes an engine that failed from new paths until the given time.
func (p *Planner) Suspect(address string, until time.Time) { p.exclude(address, until, false) }

// SuspectBusy excludes an engine that lacked capacity from new paths until the given
// time.
func (p *Planner) SuspectBusy(address string, until time.Time) { p.exclude(address, until, true) }

func (p *Planner) exclude(address string, until time.Time, busy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	s, ok := p.suspects[address]
	if !ok || s.busy && !busy {
		s.since = time.Now()
		s.busy = busy
	}
	if until.After(s.until) {
		s.until = until
	}
	p.suspects[address] = s
}

// downAfter is how long an engine must have been suspected to count as down.
const downAfter = 900 * time.Millisecond

// Down reports whether an engine has been suspected of having failed without
// interruption for at least downAfter.
func (p *Planner) Down(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	s, ok := p.suspects[address]
	return ok && !s.busy && now.Sub(s.since) >= downAfter
}

// expire removes the suspicions and reports that are no longer used.
func (p *Planner) expire(now time.Time) {
	for address, s := range p.suspects {
		if !now.Before(s.until) {
			delete(p.suspects, address)
		}
	}
	for address, r := range p.reports {
		if now.Sub(r.at) > slownessTTL {
			delete(p.reports, address)
		}
	}
	p.expireBroken(now)
	p.backlog.expire(now)
}
