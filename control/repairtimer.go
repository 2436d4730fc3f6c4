package control

import (
	"cmp"
	"time"
)

const (
	// RepairDelay is how long layers must be missing before an engine is
	// moved to cover them. Most engines that crash are back sooner than a move
	// takes.
	RepairDelay = 4 * time.Second
	// ExtensionDelay is how long layers must be short before engines load them beside their
	// own. That disturbs nothing, so it need not be certain that no engine comes back.
	ExtensionDelay = 500 * time.Millisecond
	// takeoverWindow is the time after a host has become the controller in
	// which it assumes that missing layers were missing before.
	takeoverWindow = time.Second
)

// RepairTimer delays repairs until layers have been missing for a while. The
// zero value is ready to use for a host that has just become the controller.
type RepairTimer struct {
	// Delay is how long layers must be missing; 0 stands for RepairDelay.
	Delay time.Duration
	// controlSince is when the timer was first used, and missingSince when layers
	// began to be missing; zero if none are.
	controlSince time.Time
	missingSince time.Time
}

// Observe records whether layers are missing now, and reports whether a repair is due.
// lastLeave is when an engine last left the fleet, or zero if this host has seen
// none leave. On a host that has just become the controller the delay counts from
// lastLeave, so that a change of controller does not start the delay again.
func (t *RepairTimer) Observe(missing bool, lastLeave, now time.Time) bool {
	if t.controlSince.IsZero() {
		t.controlSince = now
	}
	if !missing {
		t.missingSince = time.Time{}
		return false
	}
	if t.missingSince.IsZero() {
		t.missingSince = now
		if now.Sub(t.controlSince) < takeoverWindow && !lastLeave.IsZero() {
			t.missingSince = lastLeave
		}
	}
	return now.Sub(t.missingSince) >= cmp.Or(t.Delay, RepairDelay)
}
