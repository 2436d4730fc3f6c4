package control

import "time"

const (
	// RepairPatience is how long layers must be missing before an engine is
	// moved to cover them. Most engines that crash are back sooner than a move
	// takes.
	RepairPatience = 4 * time.Second
	// takeoverWindow is the time after a host has become the controller in
	// which it assumes that missing layers were missing before.
	takeoverWindow = time.Second
)

// Patience delays repairs until layers have been missing for RepairPatience. The
// zero value is ready to use for a host that has just become the controller.
type Patience struct {
	controlSince time.Time
	missingSince time.Time
}

// Due reports whether a repair is due, given whether layers are missing now.
// lastLeave is when an engine last left the fleet, or zero if this host has seen
// none leave. On a host that has just become the controller the delay counts from
// then, so that it does not wait for the full delay again.
func (p *Patience) Due(missing bool, lastLeave, now time.Time) bool {
	if p.controlSince.IsZero() {
		p.controlSince = now
	}
	if !missing {
		p.missingSince = time.Time{}
		return false
	}
	if p.missingSince.IsZero() {
		p.missingSince = now
		if now.Sub(p.controlSince) < takeoverWindow && !lastLeave.IsZero() {
			p.missingSince = lastLeave
		}
	}
	return now.Sub(p.missingSince) >= RepairPatience
}
