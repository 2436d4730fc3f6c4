package pipeline

import (
	"time"

	"bulrushshed/usage"
)

// OtherHosts tells what the other hosts of this failure domain use of the engines.
type OtherHosts interface {
	// Load returns what they use, as of their latest reports. It must not block.
	Load(now time.Time) *usage.Load
}

// unreportedWindow is the time in which other hosts may have placed streams that this
// host does not know of: a report is sent at most every 250 ms, and takes some time. They
// are assumed to place as many as this host, as all hosts have the same callers.
const unreportedWindow = 250 * time.Millisecond

// recentCells counts the KV cache cells that this host began to use on each engine in the
// last one to two windows of unreportedWindow.
type recentCells struct {
	since             time.Time
	current, previous map[string]float64
}

func (r *recentCells) add(address string, cells float64, now time.Time) {
	r.rotate(now)
	r.current[address] += cells
}

func (r *recentCells) get(address string) float64 { return r.current[address] + r.previous[address] }

// rotate begins a new window if the current one has ended.
func (r *recentCells) rotate(now time.Time) {
	switch age := now.Sub(r.since); {
	case age < unreportedWindow:
		return
	case age < 2*unreportedWindow:
		r.previous = r.current
	default:
		r.previous = nil
	}
	r.current, r.since = map[string]float64{}, now
}

// otherLoad returns what other hosts use, or nil if this planner is not told.
func (p *Planner) otherLoad(now time.Time) *usage.Load {
	if p.opts.Others == nil {
		return nil
	}
	p.recent.rotate(now)
	return p.opts.Others.Load(now)
}

// localCells returns the estimated number of cells that the hosts of this failure domain
// use on an engine: those of this host and what the others report, or as many for each
// other host if none has reported recently.
func (p *Planner) localCells(graphs *serviceGraphs, address string, others *usage.Load) float64 {
	if others == nil || !others.Known() {
		return float64(max(p.opts.LocalHosts(), 1)) * p.cells[address]
	}
	unreported := float64(others.Hosts()) * p.recent.get(address)
	return p.cells[address] + unreported + others.Cells(graphs.ids[address])*graphs.capacity[address]
}

// isReported reports whether an engine is avoided because another host found it down or
// full.
func isReported(others *usage.Load, e usage.EngineID, kind usage.Kind, now time.Time) bool {
	if others == nil {
		return false
	}
	k, _, ok := others.Avoided(e, now)
	return ok && k == kind
}

// Uses returns what the streams of this host use of the listed engines.
func (p *Planner) Uses() (all []usage.Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, cells := range p.cells {
		for _, graphs := range p.graphs {
			if capacity := graphs.capacity[address]; capacity > 0 {
				all = append(all, usage.Use{Engine: graphs.ids[address], Cells: max(cells, 0) / capacity, Streams: p.starts[address]})
			}
		}
	}
	return all
}
