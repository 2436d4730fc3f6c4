package control_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"bulrushshed/control"
	"bulrushshed/ingress"
	"bulrushshed/route"
)

// drawFleet draws a fleet without engines in service: 3 to 400 engines of one to four kinds in one
// to ten failure domains.
func drawFleet(t *rapid.T, m *ingress.Model) []control.Placement {
	kinds := rapid.SliceOfN(rapid.Float64Range(0.3, 30), 1, 4).Draw(t, "memory in layers")
	domains := rapid.IntRange(1, 10).Draw(t, "domains")
	var fleet []control.Placement
	for i := range rapid.IntRange(3, 400).Draw(t, "engines") {
		fleet = append(fleet, control.Placement{
			ID: fmt.Sprint(i), FailureDomain: fmt.Sprint(rapid.IntRange(0, domains-1).Draw(t, "domain")),
			Accelerator: ingress.Accelerator{MemoryMB: m.LayerMB * rapid.SampledFrom(kinds).Draw(t, "kind")},
		})
	}
	return fleet
}

// minStreamTokens is the KV cache of an engine that serves one small stream.
const minStreamTokens = 1000

// Whenever the engines together have memory for all layers, and for a stream, all layers are held.
func TestEveryFleetThatFitsTheModelIsCovered(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := &ingress.Model{
			Layers: rapid.IntRange(4, 120).Draw(t, "layers"), LayerMB: 1000, KVTokenMB: rapid.Float64Range(0.01, 1).Draw(t, "kv"),
		}
		fleet := drawFleet(t, m)
		fits := 0
		for _, p := range fleet {
			fits += min(int(p.Accelerator.MemoryMB/(m.LayerMB+minStreamTokens*m.KVTokenMB/float64(m.Layers))), m.Layers)
		}
		if fits < m.Layers {
			return
		}
		if !control.CoversAll(m, placed(m, fleet)) {
			t.Fatalf("got layers missing on %d engines for %d of %d layers, want all held", len(fleet), fits, m.Layers)
		}
	})
}

// fleetOf returns a fleet of the model with the given numbers of engines by domain and kind.
func fleetOf(m *ingress.Model, domains map[string]map[string]int) []control.Placement {
	var fleet []control.Placement
	for domain, kinds := range domains {
		for kind, n := range kinds {
			for i := range n {
				fleet = append(fleet, control.Placement{
					ID: fmt.Sprintf("%s-%s-%d", domain, kind, i), FailureDomain: domain, Accelerator: m.Accelerators[kind],
				})
			}
		}
	}
	return sorted(fleet)
}

// sorted returns a fleet in an order that does not depend on that of a map.
func sorted(fleet []control.Placement) []control.Placement {
	slices.SortFunc(fleet, func(a, b control.Placement) int { return cmp.Compare(a.ID, b.ID) })
	return fleet
}

// fleets are those of the users, and ones of which no failure domain, or one only, can hold
// the model.
func fleets() map[string]struct {
	model   *ingress.Model
	engines []control.Placement
} {
	unlike := &ingress.Model{Layers: 80, LayerMB: 1750, KVTokenMB: 0.59, Accelerators: map[string]ingress.Accelerator{
		"large": {MemoryMB: 72000}, "middle": {MemoryMB: 21600}, "small": {MemoryMB: 14400},
	}}
	return map[string]struct {
		model   *ingress.Model
		engines []control.Placement
	}{
		"three domains": {fleetModel, sorted(emptyFleet())},
		"few large engines": {unlike, fleetOf(unlike, map[string]map[string]int{
			"a": {"large": 1, "small": 10, "middle": 4}, "b": {"large": 2, "small": 4, "middle": 4}, "c": {"large": 1, "small": 6, "middle": 6},
		})},
		"no domain holds the model": {fleetModel, fleetOf(fleetModel, map[string]map[string]int{
			"a": {"large": 1, "middle": 2, "small": 4}, "b": {"middle": 4, "small": 3}, "c": {"large": 1, "middle": 2, "small": 3},
			"d": {"middle": 3, "small": 4}, "e": {"middle": 4, "small": 3},
		})},
		"one domain holds the model": {fleetModel, fleetOf(fleetModel, map[string]map[string]int{
			"a": {"large": 4, "middle": 6, "small": 10}, "b": {"middle": 4}, "c": {"small": 5},
		})},
	}
}

// capacities returns the KV-cache capacity of each layer, in tokens.
func capacities(m *ingress.Model, placements []control.Placement) []float64 {
	all := make([]float64, m.Layers)
	for _, p := range placements {
		for l := p.Layers.From; l < p.Layers.To; l++ {
			all[l] += m.KVCells(p.Accelerator, p.Layers.Len()) / float64(p.Layers.Len())
		}
	}
	return all
}

// Streams end at the layer with the least capacity. It must have at least half of the mean
// capacity, in all fleets, and something must be left after the loss of any one engine.
func TestCapacityIsSpreadOverTheLayers(t *testing.T) {
	t.Parallel()
	for name, f := range fleets() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			placements := placed(f.model, f.engines)
			least, mean := leastAndMean(capacities(f.model, placements))
			t.Logf("capacity of the scarcest layer: %.0f tokens, mean %.0f", least, mean)
			if least < mean/2 {
				t.Errorf("got a scarcest layer with capacity for %.0f tokens, want at least half of the mean, %.0f", least, mean)
			}
			if move, ok := control.Repair(f.model, placements, func(string) bool { return true }); ok {
				t.Errorf("got a move of %s to %v in a fleet without losses, want none", move.ID, move.Layers)
			}
			for _, lost := range placements {
				left := without(placements, map[string]bool{lost.ID: true})
				if !control.CoversAll(f.model, left) {
					t.Errorf("got layers missing after the loss of %s with layers %v, want none", lost.ID, lost.Layers)
				}
			}
		})
	}
}

func leastAndMean(all []float64) (least, mean float64) {
	least = all[0]
	for _, c := range all {
		least = min(least, c)
		mean += c / float64(len(all))
	}
	return least, mean
}

// restored repairs a fleet until no change is left, limit changes at a time. It returns the
// fleet and the number of rounds until all layers were held again.
func restored(t *testing.T, m *ingress.Model, left []control.Placement, limit int) (repaired []control.Placement, rounds int) {
	t.Helper()
	for range 50 {
		moves := control.Repairs(m, left, func(string) bool { return true }, control.AnyChange, limit)
		if len(moves) == 0 {
			return left, rounds
		}
		if !control.CoversAll(m, left) {
			rounds++
		}
		if len(moves) > limit {
			t.Fatalf("got %d changes at a time, want at most %d", len(moves), limit)
		}
		left = applied(left, moves)
	}
	t.Fatal("got changes without end, want the fleet to settle")
	return nil, 0
}

func applied(placements []control.Placement, moves []control.Assignment) []control.Placement {
	layers := map[string]route.Range{}
	for _, a := range moves {
		layers[a.ID] = a.Layers
	}
	all := append([]control.Placement(nil), placements...)
	for i := range all {
		if r, ok := layers[all[i].ID]; ok {
			all[i].Layers = r
		}
	}
	return all
}

// After the loss of a failure domain, or of every sixth engine, the layers that are left
// without an engine are held again after three rounds at most, if the memory suffices.
func TestRepairsRestoreServiceAfterLargeLosses(t *testing.T) {
	t.Parallel()
	const limit, maxRounds = 6, 3
	for name, f := range fleets() {
		placements := placed(f.model, f.engines)
		losses := map[string]func(i int, p control.Placement) bool{
			"every sixth": func(i int, _ control.Placement) bool { return i%6 == 0 },
			"domain c":    func(_ int, p control.Placement) bool { return p.FailureDomain == "c" },
		}
		for loss, lost := range losses {
			t.Run(name+", "+loss, func(t *testing.T) {
				t.Parallel()
				var left []control.Placement
				for i, p := range placements {
					if !lost(i, p) {
						left = append(left, p)
					}
				}
				before, _ := leastAndMean(capacities(f.model, left))
				repaired, rounds := restored(t, f.model, left, limit)
				after, mean := leastAndMean(capacities(f.model, repaired))
				t.Logf("scarcest layer: %.0f tokens, after repairs %.0f, mean %.0f; held again after %d rounds", before, after, mean, rounds)
				if !control.CoversAll(f.model, repaired) || rounds > maxRounds {
					t.Errorf("got %d rounds and all layers held %v, want at most %d and all", rounds, control.CoversAll(f.model, repaired), maxRounds)
				}
				if after < before {
					t.Errorf("got a scarcest layer of %.0f tokens after repairs, want no less than %.0f", after, before)
				}
			})
		}
	}
}
