package control_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bulrushshed/control"
	"bulrushshed/engine"
	"bulrushshed/route"
)

// fleet draws engines that hold nothing yet.
func fleet(r *rand.Rand, n int) []control.Engine {
	var all []control.Engine
	for i := range n {
		all = append(all, control.Engine{
			Holding: route.Holding{
				Endpoint: fmt.Sprintf("e%02d", i), Slots: 8, LayerTime: time.Duration(1+r.IntN(4)) * 100 * time.Microsecond,
			},
			Role: engine.RoleServe, MaxLayers: []int{5, 8, 10, 14}[r.IntN(4)],
		})
	}
	return all
}

// enough is the share of the flow in the end at which a repair counts as done.
const enough = 0.9

// loaded is the number of layers that the weight store hands out until the flow
// is enough, if moves are carried out one after another, and that flow.
func loaded(engines []control.Engine, next func() []control.Move) (layersUntil int, flow float64) {
	type point struct {
		layers int
		flow   float64
	}
	var way []point
	total := 0
	note := func() { way = append(way, point{total, route.MaxFlow(layers, holdings(engines, "v1", nil))}) }
	note()
	for range maxSteps {
		moves := next()
		if len(moves) == 0 {
			break
		}
		total += moves[0].Order.Layers.Len()
		carry(engines, moves[:1])
		note()
	}
	flow = way[len(way)-1].flow
	for _, p := range way {
		if p.flow >= enough*flow {
			return p.layers, flow
		}
	}
	return total, flow
}

// BenchmarkRepair loses an engine of a placed fleet, and prints how many layers
// must be loaded until the flow is back at nine tenths of what it comes to, beside
// loading all engines anew in their order.
func BenchmarkRepair(b *testing.B) {
	for b.Loop() {
		r := rand.New(rand.NewPCG(1, 1))
		ours, twin, ourFlow, twinFlow, losses := 0, 0, 0.0, 0.0, 0
		for range 100 {
			engines := fleet(r, 8)
			_, flow := loaded(engines, func() []control.Move { return control.Next(model("v1"), engines, 1) })
			lost := r.IntN(len(engines))
			engines = append(engines[:lost:lost], engines[lost+1:]...)
			if flow == 0 || route.MaxFlow(layers, holdings(engines, "v1", nil)) >= enough*flow {
				// Nothing is to be repaired.
				continue
			}
			losses++
			other := append([]control.Engine{}, engines...)
			n, f := loaded(engines, func() []control.Move { return control.Next(model("v1"), engines, 1) })
			ours, ourFlow = ours+n, ourFlow+f
			plan := naive(other)
			n, f = loaded(other, func() []control.Move {
				if len(plan) == 0 {
					return nil
				}
				h := plan[0]
				plan = plan[1:]
				return []control.Move{{Endpoint: h.Endpoint, Order: engine.Load("m", "v1", h.Layers)}}
			})
			twin, twinFlow = twin+n, twinFlow+f
		}
		b.ReportMetric(float64(losses), "losses")
		b.ReportMetric(float64(ours)/float64(losses), "layers-loaded")
		b.ReportMetric(float64(twin)/float64(losses), "layers-loaded-naive")
		b.ReportMetric(ourFlow/twinFlow, "flow-of-naive")
	}
}
