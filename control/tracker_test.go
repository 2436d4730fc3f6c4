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

// lagging is a fleet whose orders take a while, and whose statuses show what
// was some seconds ago.
type lagging struct {
	engines []control.Engine
	// due are the orders under way, by endpoint, with the second of their end.
	due  map[string]control.Move
	ends map[string]int
	// past are the states of the last seconds, the newest last.
	past [][]control.Engine
}

const (
	lag      = 2
	takes    = 4
	longEnds = 400
)

func (l *lagging) tick(second int) {
	for i := range l.engines {
		name := l.engines[i].Holding.Endpoint
		if m, ok := l.due[name]; ok && second >= l.ends[name] {
			carry(l.engines[i:i+1], []control.Move{m})
			l.engines[i].Changing = false
			delete(l.due, name)
		}
	}
	l.past = append(l.past, slices.Clone(l.engines))
}

func (l *lagging) seen() []control.Engine {
	return slices.Clone(l.past[max(len(l.past)-1-lag, 0)])
}

func (l *lagging) give(m control.Move, second int) bool {
	for i := range l.engines {
		if e := &l.engines[i]; e.Holding.Endpoint == m.Endpoint && !e.Changing {
			e.Changing = true
			l.due[m.Endpoint] = m
			l.ends[m.Endpoint] = second + takes
			return true
		}
	}
	return false
}

func (l *lagging) serving(version string) []route.Holding {
	var all []route.Holding
	for _, e := range l.engines {
		if e.Holding.Version == version && !e.Changing {
			all = append(all, e.Holding)
		}
	}
	return all
}

// With statuses that lag behind orders, placement still ends, and a rollout
// still keeps one version whole.
func TestStatusesThatLag(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		l := &lagging{engines: draw(t), due: map[string]control.Move{}, ends: map[string]int{}}
		tracker := control.NewTracker()
		start := time.Unix(1000, 0)
		second, quiet := 0, 0
		run := func(version string, whole bool) {
			quiet = 0
			for end := second + longEnds; quiet < lag+takes+1; second++ {
				if second > end {
					t.Fatalf("got no end of orders")
				}
				l.tick(second)
				now := start.Add(time.Duration(second) * time.Second)
				quiet++
				if known, ok := tracker.Known(l.seen(), now); ok {
					for _, m := range control.Next(model(version), known, 2) {
						quiet = 0
						if l.give(m, second) {
							tracker.Gave(m, now)
						}
					}
				}
				if whole && route.MaxFlow(layers, l.serving("v1")) == 0 && route.MaxFlow(layers, l.serving("v2")) == 0 {
					t.Fatalf("got no version whole in second %d", second)
				}
			}
		}
		run("v1", false)
		if route.MaxFlow(layers, l.serving("v1")) > 0 {
			run("v2", true)
		}
	})
}

// Two engines that hold the same half are left, and one of them must move: but
// not both, though the first status after the order does not show it yet.
func TestOnlyOneOfTwoMoves(t *testing.T) {
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
	given := 0
	for second := range 10 {
		at := now.Add(time.Duration(second) * time.Second)
		known, ok := tracker.Known(engines, at)
		if !ok {
			t.Fatal("got an order of another host, want none")
		}
		for _, m := range control.Next(model("v1"), known, 2) {
			tracker.Gave(m, at)
			given++
		}
	}
	if given != 1 {
		t.Fatalf("got %d orders, want 1", given)
	}
}
