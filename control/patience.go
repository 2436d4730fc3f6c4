package control

import "time"

const (
	// RepairPatience is how long layers must be missing before an engine is
	// moved there: most engines that crash are back sooner than that takes.
	RepairPatience = 4 * time.Second
	// takeTime is how long a host that begins to control the engines takes
	// what is missing for something that was missing before.
	takeTime = time.Second
)

// Patience tells when layers have been missing for so long that an engine is to be
// moved there. The zero value is that of a host that did not control the engines
// before.
type Patience struct {
	took  time.Time
	since time.Time
}

// Due reports whether it is time, if layers are missing now. lost is when an engine
// last left the fleet, zero if this host has seen none leave; the wait of a host that
// has just begun to control the engines counts from then.
func (p *Patience) Due(missing bool, lost, now time.Time) bool {
	if p.took.IsZero() {
		p.took = now
	}
	if !missing {
		p.since = time.Time{}
		return false
	}
	if p.since.IsZero() {
		p.since = now
		if now.Sub(p.took) < takeTime && !lost.IsZero() {
			p.since = lost
		}
	}
	return now.Sub(p.since) >= RepairPatience
}
