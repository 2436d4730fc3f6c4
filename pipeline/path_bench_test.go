package pipeline_test

import (
	"fmt"
	"testing"
	"time"

	"bulrushshed/control"
	"bulrushshed/ingress"
	"bulrushshed/pipeline"
	"bulrushshed/replica"
)

// fleetModel returns an 80-layer model for three kinds of accelerators.
func fleetModel() *ingress.Model {
	return &ingress.Model{
		Layers: 80, LayerMB: 1750, KVTokenMB: 0.426, StepTime: 850 * time.Microsecond,
		Accelerators: map[string]ingress.Accelerator{
			"large": {MemoryMB: 36000, Slowness: 3.1}, "middle": {MemoryMB: 21600, Slowness: 16}, "small": {MemoryMB: 14400, Slowness: 15},
		},
	}
}

// placeEngines returns engines in failure domains "a", "b" and so on, with the layers
// that control.Cover assigns to them.
func placeEngines(m *ingress.Model, engines, domains int) *replica.View {
	var placements []control.Placement
	byID := map[string]replica.Replica{}
	for n := range engines {
		kind := []string{"large", "middle", "middle", "middle", "small", "small", "small", "small"}[n%8]
		r := engine(n, string(rune('a'+n/8%domains)), kind, 0, 0)
		byID[r.ID] = r
		placements = append(placements, control.Placement{ID: r.ID, FailureDomain: r.FailureDomain, Accelerator: m.Accelerators[kind]})
	}
	var all []replica.Replica
	for _, a := range control.Cover(m, placements) {
		r := byID[a.ID]
		r.Layers = a.Layers
		all = append(all, r)
	}
	return view(all...)
}

func BenchmarkPath(b *testing.B) {
	for _, c := range []struct{ engines, domains int }{{40, 3}, {100, 4}, {400, 4}, {1600, 4}, {1600, 12}} {
		b.Run(fmt.Sprintf("%d engines in %d domains", c.engines, c.domains), func(b *testing.B) {
			m := fleetModel()
			v := placeEngines(m, c.engines, c.domains)
			p := pipeline.NewPlanner(pipeline.Options{FailureDomain: "a", LocalHosts: func() int { return 1 }})
			now := time.Now()
			req := pipeline.PathRequest{Service: "s", Model: m, Tokens: 900}
			var releases []func()
			for b.Loop() {
				_, release, err := p.Path(v, req, now)
				if err != nil {
					b.Fatal(err)
				}
				// Keep 30 streams running at a time.
				if releases = append(releases, release); len(releases) > 30 {
					releases[0]()
					releases = releases[1:]
				}
			}
		})
	}
}
