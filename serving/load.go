package serving

import (
	"sync"
	"time"
)

// loadThreshold is the fraction of a host's capacity above which it is loaded. The rest is
// left for bursts, and for the requests of hosts that are lost.
const loadThreshold = 0.5

// LoadMeter determines whether a host is loaded from its consumption of a resource over
// time. It is safe for concurrent use.
type LoadMeter struct {
	// perSecond is what the host may consume in a second.
	perSecond float64

	mu         sync.Mutex
	sampledAt  time.Time
	lastAmount float64
}

// NewLoadMeter returns a meter for a resource of which the host may consume the given
// amount in a second.
func NewLoadMeter(perSecond float64) *LoadMeter { return &LoadMeter{perSecond: perSecond} }

// Sample records the total amount consumed since the start of the process, and reports
// whether the host was loaded since the previous sample.
func (m *LoadMeter) Sample(total float64, now time.Time) (loaded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed, used := now.Sub(m.sampledAt).Seconds(), total-m.lastAmount
	first := m.sampledAt.IsZero()
	m.sampledAt, m.lastAmount = now, total
	if first || elapsed <= 0 {
		return false
	}
	return used/elapsed > loadThreshold*m.perSecond
}
