package forward

import (
	"time"

	"bulrushshed/route"
	"bulrushshed/usage"
)

// Findings tells the other hosts what this one finds out about engines.
type Findings interface {
	// Find records a finding. until is when a full engine may have capacity. An engine that
	// is back is of interest only if a host found it down. Find must not block.
	Find(e usage.EngineID, k usage.Kind, until, now time.Time)
}

// find tells the other hosts about an engine.
func (f *Forwarder) find(e usage.EngineID, k usage.Kind, until, now time.Time) {
	if f.Findings != nil {
		f.Findings.Find(e, k, until, now)
	}
}

// findFull tells the other hosts that an engine had no capacity for a stream on a path.
func (f *Forwarder) findFull(address string, path route.Route, until, now time.Time) {
	for _, h := range path.Hops {
		if h.Address == address {
			f.find(usage.NewEngineID(address, h.EngineIncarnation()), usage.Full, until, now)
			return
		}
	}
	if r, listed := f.Replicas.View().ByAddress(address); listed {
		f.find(usage.NewEngineID(address, r.Incarnation()), usage.Full, until, now)
	}
}
