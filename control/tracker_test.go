package control_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushshed/control"
	"bulrushshed/engine"
	"bulrushshed/route"
)

// laggingFleet is a fleet in which orders take several seconds and statuses are
// some seconds old.
type laggingFleet struct {
	engines []control.Engine
	// pending holds the orders in progress, by endpoint, and doneAt the second
	// in which each is done.
	pending map[string]control.Move
	doneAt  map[string]int
	// history holds the state at each second, the newest last.
	history [][]control.Engine
}

const (
	statusLag    = 2
	orderSeconds = 4
	maxSeconds   = 400
)

// tick finishes the orders that are done in a second, and records the state.
func (l *laggingFleet) tick(second int) {
	for i := range l.engines {
		name := l.engines[i].Holding.Endpoint
		if m, ok := l.pending[name]; ok && second >= l.doneAt[name] {
			applyMoves(l.engines[i:i+1], []control.Move{m})
			l.engines[i].Changing = false
			delete(l.pending, name)
		}
	}
	l.history = append(l.history, slices.Clone(l.engines))
}

// reported returns the engines as their latest statuses show them.
func (l *laggingFleet) reported() []control.Engine {
	return slices.Clone(l.history[max(len(l.history)-1-statusLag, 0)])
}

// order starts to carry out a move; it returns false if the engine is changing
// already.
func (l *laggingFleet) order(m control.Move, second int) bool {
	for i := range l.engines {
		if e := &l.engines[i]; e.Holding.Endpoint == m.Endpoint && !e.Changing {
			e.Changing = true
			l.pending[m.Endpoint] = m
			l.doneAt[m.Endpoint] = second + orderSeconds
			return true
		}
	}
	return false
}

func (l *laggingFleet) serving(version string) []route.Holding {
	var all []route.Holding
	for _, e := range l.engines {
		if e.Holding.Version == version && !e.Changing {
			all = append(all, e.Holding)
		}
	}
	return all
}

// With statuses that lag behind orders, placement still terminates, and a rollout
// still keeps one version fully covered.
func TestPlacementWithLaggingStatuses(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		l := &laggingFleet{engines: drawEngines(t), pending: map[string]control.Move{}, doneAt: map[string]int{}}
		tracker := control.NewTracker()
		start := time.Unix(1000, 0)
		second, idle := 0, 0
		run := func(version string, mustServe bool) {
			idle = 0
			for end := second + maxSeconds; idle < statusLag+orderSeconds+1; second++ {
				if second > end {
					t.Fatalf("got orders until the last second, want placement to terminate")
				}
				l.tick(second)
				now := start.Add(time.Duration(second) * time.Second)
				idle++
				if expected, ok := tracker.WithPending(l.reported(), now); ok {
					for _, m := range control.NextMoves(model(version), expected, 2) {
						idle = 0
						if l.order(m, second) {
							tracker.MarkAccepted(m, now)
						}
					}
				}
				if mustServe && route.MaxFlow(layers, l.serving("v1")) == 0 && route.MaxFlow(layers, l.serving("v2")) == 0 {
					t.Fatalf("got no fully covered version in second %d", second)
				}
			}
		}
		run("v1", false)
		if route.MaxFlow(layers, l.serving("v1")) > 0 {
			run("v2", true)
		}
	})
}

// Of two engines that hold the same half of the layers, exactly one is moved, even
// though the first statuses after the order do not show it yet.
func TestPendingOrderIsNotRepeated(t *testing.T) {
	t.Parallel()
	half := func(name string) control.Engine {
		return control.Engine{MaxLayers: layers / 2, Role: engine.RoleServe, Holding: route.Holding{
			Endpoint: name, Model: "m", Version: "v1", Slots: 8, LayerTime: time.Millisecond,
			Layers: route.Range{From: 0, To: layers / 2},
		}}
	}
	engines := []control.Engine{half("e1"), half("e2")}
	tracker := control.NewTracker()
	now := time.Unix(1000, 0)
	orders := 0
	for second := range 10 {
		at := now.Add(time.Duration(second) * time.Second)
		expected, ok := tracker.WithPending(engines, at)
		if !ok {
			t.Fatal("got an order of another host, want none")
		}
		for _, m := range control.NextMoves(model("v1"), expected, 2) {
			tracker.MarkAccepted(m, at)
			orders++
		}
	}
	if orders != 1 {
		t.Fatalf("got %d orders, want 1", orders)
	}
}
