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

// randomEngines returns random engines that hold no layers.
func randomEngines(r *rand.Rand, n int) []control.Engine {
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

// repairedFraction is the fraction of the final flow at which a repair is
// considered done.
const repairedFraction = 0.9

// layersLoaded carries out moves one at a time. It returns the number of layers
// loaded from the weight store until the flow reaches repairedFraction of the final
// flow, and the final flow.
func layersLoaded(engines []control.Engine, next func() []control.Move) (layersUntil int, flow float64) {
	type point struct {
		layers int
		flow   float64
	}
	var history []point
	total := 0
	record := func() { history = append(history, point{total, route.MaxFlow(layers, holdings(engines, "v1", nil))}) }
	record()
	for range maxSteps {
		moves := next()
		if len(moves) == 0 {
			break
		}
		total += moves[0].Order.Layers.Len()
		applyMoves(engines, moves[:1])
		record()
	}
	flow = history[len(history)-1].flow
	for _, p := range history {
		if p.flow >= repairedFraction*flow {
			return p.layers, flow
		}
	}
	return total, flow
}

// BenchmarkRepair removes an engine from a placed fleet and reports how many layers
// must be loaded until the flow is back at nine tenths of its final value, compared
// to reloading all engines in order.
func BenchmarkRepair(b *testing.B) {
	for b.Loop() {
		r := rand.New(rand.NewPCG(1, 1))
		withNext, inOrder, nextFlow, inOrderFlow, losses := 0, 0, 0.0, 0.0, 0
		for range 100 {
			engines := randomEngines(r, 8)
			_, flow := layersLoaded(engines, func() []control.Move { return control.NextMoves(model("v1"), engines, 1) })
			lost := r.IntN(len(engines))
			engines = append(engines[:lost:lost], engines[lost+1:]...)
			if flow == 0 || route.MaxFlow(layers, holdings(engines, "v1", nil)) >= repairedFraction*flow {
				// There is nothing to repair.
				continue
			}
			losses++
			other := append([]control.Engine{}, engines...)
			n, f := layersLoaded(engines, func() []control.Move { return control.NextMoves(model("v1"), engines, 1) })
			withNext, nextFlow = withNext+n, nextFlow+f
			plan := loadInOrder(other)
			n, f = layersLoaded(other, func() []control.Move {
				if len(plan) == 0 {
					return nil
				}
				h := plan[0]
				plan = plan[1:]
				return []control.Move{{Endpoint: h.Endpoint, Order: engine.ServeOrder("m", "v1", h.Layers)}}
			})
			inOrder, inOrderFlow = inOrder+n, inOrderFlow+f
		}
		b.ReportMetric(float64(losses), "losses")
		b.ReportMetric(float64(withNext)/float64(losses), "layers-loaded")
		b.ReportMetric(float64(inOrder)/float64(losses), "layers-loaded-naive")
		b.ReportMetric(nextFlow/inOrderFlow, "flow-of-naive")
	}
}
