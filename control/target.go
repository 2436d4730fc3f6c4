package control

import (
	"slices"

	"github.com/samber/lo"

	"bulrushshed/ingress"
)

// capacitySteps are the candidates for the KV-cache capacity of each engine, in
// tokens summed over all streams. The largest is used that leaves enough engines
// to cover the layers.
var capacitySteps = []float64{100_000, 75_000, 50_000, 30_000, 20_000, 15_000, 10_000, 5_000, 1_000, 1}

const (
	// minServingCapacity is the lowest capacity with which a failure domain serves by
	// itself, and that is used while engines are in service: an engine with less holds
	// hardly a stream.
	minServingCapacity = 5_000
	// minReserveCapacity is the lowest capacity at which a domain should hold more than one
	// copy of the layers, which is domainCopies. With less, room for streams is worth more.
	minReserveCapacity = 30_000
	domainCopies       = 1.1
	// fleetCopies is the number of copies that all domains together should hold if one of
	// them does not hold all layers.
	fleetCopies = 2.0
)

// targets are the target KV-cache capacities of the engines, in tokens.
type targets struct {
	// byDomain has those of the failure domains that can hold all layers. fleet is that of
	// the others.
	byDomain map[string]float64
	fleet    float64
}

func (t targets) of(domain string) float64 {
	if target, ok := t.byDomain[domain]; ok {
		return target
	}
	return t.fleet
}

// atMost returns the targets, none of them above a limit.
func (t targets) atMost(limit float64) targets {
	byDomain := lo.MapValues(t.byDomain, func(target float64, _ string) float64 { return min(target, limit) })
	return targets{byDomain: byDomain, fleet: min(t.fleet, limit)}
}

// newTargets returns the targets of a fleet. The target of a failure domain with engines in
// service is the lower quartile of their capacities.
func newTargets(m *ingress.Model, placements []Placement) targets {
	t := targets{byDomain: map[string]float64{}}
	t.fleet = fleetTarget(m, placements)
	for domain, all := range lo.GroupBy(placements, func(p Placement) string { return p.FailureDomain }) {
		if target, ok := lowerQuartile(m, all); ok {
			t.byDomain[domain] = target
		} else if target, ok := domainTarget(m, all); ok {
			t.byDomain[domain] = target
		}
	}
	return t
}

// lowerQuartile returns the lower quartile of the capacities of the engines in service; ok is
// false if there are none.
func lowerQuartile(m *ingress.Model, placements []Placement) (capacity float64, ok bool) {
	var capacities []float64
	for _, p := range placements {
		if n := p.Layers.Len(); n > 0 {
			capacities = append(capacities, m.KVCells(p.Accelerator, n)/float64(n))
		}
	}
	if len(capacities) == 0 {
		return 0, false
	}
	slices.Sort(capacities)
	return max(capacities[len(capacities)/4], minServingCapacity), true
}

// domainTarget returns the target of a failure domain without engines in service; ok is
// false if it cannot hold all layers and serve.
func domainTarget(m *ingress.Model, placements []Placement) (target float64, ok bool) {
	for _, c := range []struct{ copies, least float64 }{{domainCopies, minReserveCapacity}, {1, minServingCapacity}} {
		for _, step := range capacitySteps {
			if step >= c.least && copies(m, placements, step) >= c.copies {
				return step, true
			}
		}
	}
	return 0, false
}

// fleetTarget returns the target of engines whose failure domain cannot hold all layers.
func fleetTarget(m *ingress.Model, placements []Placement) float64 {
	if target, ok := lowerQuartile(m, placements); ok {
		return target
	}
	for _, enough := range []float64{fleetCopies, 1} {
		for _, step := range capacitySteps {
			if copies(m, placements, step) >= enough {
				return step
			}
		}
	}
	return capacitySteps[len(capacitySteps)-1]
}

// lowerTargets returns the targets below which the engines may be used if layers are left
// without any engine.
func lowerTargets(placements []Placement) []float64 {
	if !slices.ContainsFunc(placements, func(p Placement) bool { return p.Layers.Len() > 0 }) {
		return capacitySteps
	}
	return lo.Filter(capacitySteps, func(step float64, _ int) bool { return step >= minServingCapacity })
}

// copies returns how many copies of all layers fit into the engines if each has the target
// capacity.
func copies(m *ingress.Model, placements []Placement, target float64) float64 {
	n := lo.SumBy(placements, func(p Placement) int { return layersThatFit(m, p.Accelerator, target) })
	return float64(n) / float64(m.Layers)
}

// layersThatFit returns the number of layers that leave an accelerator the target capacity.
func layersThatFit(m *ingress.Model, a ingress.Accelerator, target float64) int {
	perLayer := m.LayerMB + target*m.KVTokenMB/float64(m.Layers)
	return min(int(a.MemoryMB/perLayer), m.Layers)
}
