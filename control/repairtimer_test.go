package control_test

import (
	"testing"
	"time"

	"bulrushshed/control"
)

// A repair is delayed because the engine may come back. A new controller does not
// start the delay again.
func TestRepairDelay(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var never time.Time
	for _, c := range []struct {
		name string
		// controlSince is when the host becomes the controller, missing when layers
		// start to be missing, and lost when the host saw an engine leave.
		controlSince, missing float64
		lost                  time.Time
		want                  float64
	}{
		{"controller sees the engine leave", 0, 10, at(10), 14},
		{"controller saw an engine leave before layers are missing", 0, 10, at(3), 14},
		{"new controller", 12, 10, at(10), 14},
		{"new controller after the delay", 20, 10, at(10), 20},
		{"new controller that saw no engine leave", 12, 10, never, 16},
		{"layers missing after a change of controller", 12, 14, at(3), 18},
	} {
		var timer control.RepairTimer
		got := -1.0
		for s := c.controlSince; s < 40 && got < 0; s += 0.25 {
			if timer.Observe(s >= c.missing, c.lost, at(s)) {
				got = s
			}
		}
		if got != c.want {
			t.Errorf("%s: got a repair at %v s, want %v s", c.name, got, c.want)
		}
	}
}

// The delay starts again if the layers come back in between.
func TestRepairDelayRestartsWhenLayersReturn(t *testing.T) {
	t.Parallel()
	var timer control.RepairTimer
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	timer.Observe(false, time.Time{}, now)
	for i := range 10 {
		now = now.Add(control.RepairDelay * 2 / 3)
		if timer.Observe(i%2 == 0, time.Time{}, now) {
			t.Fatalf("got a repair at step %d, want none", i)
		}
	}
}
