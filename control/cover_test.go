package control_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"bulrushshed/control"
	"bulrushshed/ingress"
	"bulrushshed/route"
)

// fleetModel and emptyFleet have the size of the users' current deployment.
var fleetModel = &ingress.Model{Layers: 80, LayerMB: 1750, KVTokenMB: 0.426, Accelerators: map[string]ingress.Accelerator{
	"large": {MemoryMB: 36000}, "middle": {MemoryMB: 21600}, "small": {MemoryMB: 14400},
}}

func emptyFleet() []control.Placement {
	var placements []control.Placement
	for domain, kinds := range map[string]map[string]int{
		"a": {"large": 2, "middle": 5, "small": 8},
		"b": {"large": 1, "middle": 7, "small": 5},
		"c": {"large": 2, "middle": 3, "small": 5},
	} {
		for kind, n := range kinds {
			for i := range n {
				placements = append(placements, control.Placement{
					ID: fmt.Sprintf("%s-%s-%d", domain, kind, i), FailureDomain: domain, Accelerator: fleetModel.Accelerators[kind],
				})
			}
		}
	}
	return placements
}

// placed returns the engines with the layers that Cover assigns to them.
func placed(m *ingress.Model, free []control.Placement) []control.Placement {
	assigned := map[string]route.Range{}
	for _, a := range control.Cover(m, free) {
		assigned[a.ID] = a.Layers
	}
	all := append([]control.Placement(nil), free...)
	for i := range all {
		if r, ok := assigned[all[i].ID]; ok {
			all[i].Layers = r
		}
	}
	return all
}

func inDomain(placements []control.Placement, domain string) []control.Placement {
	var all []control.Placement
	for _, p := range placements {
		if p.FailureDomain == domain {
			all = append(all, p)
		}
	}
	return all
}

// Each failure domain is fully covered, and every engine has a KV-cache capacity of
// at least 50,000 tokens.
func TestEachFailureDomainIsCovered(t *testing.T) {
	t.Parallel()
	placements := placed(fleetModel, emptyFleet())
	for _, domain := range []string{"a", "b", "c"} {
		if !control.CoversAll(fleetModel, inDomain(placements, domain)) {
			t.Errorf("got layers missing in %s, want none", domain)
		}
	}
	for _, p := range placements {
		if capacity := fleetModel.KVCells(p.Accelerator, p.Layers.Len()) / float64(p.Layers.Len()); capacity < 50_000 {
			t.Errorf("got a capacity of %f tokens on %s with layers %v, want at least 50000", capacity, p.ID, p.Layers)
		}
	}
}

// Losing the engines that receive requests, one after the other, must not end the service
// of a domain.
func TestFirstLayersAreHeldByManySmallEngines(t *testing.T) {
	t.Parallel()
	for _, domain := range []string{"a", "b", "c"} {
		engines := inDomain(placed(fleetModel, emptyFleet()), domain)
		var entries []control.Placement
		for _, p := range engines {
			if p.Layers.From == 0 {
				entries = append(entries, p)
			}
		}
		if got, want := len(entries), len(engines)/4; got < want {
			t.Errorf("got %d of %d engines with the first layer in %s, want at least %d", got, len(engines), domain, want)
		}
		for _, p := range entries {
			if p.Accelerator != fleetModel.Accelerators["small"] {
				t.Errorf("got the first layers on %s, want them on small engines", p.ID)
			}
		}
	}
}

// More engines with the first layers must not leave other layers without any.
func TestFirstLayersDoNotDisplaceOthers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := &ingress.Model{Layers: rapid.IntRange(4, 60).Draw(t, "layers"), LayerMB: 1000, KVTokenMB: 0.01}
		var placements []control.Placement
		layers := 0
		for i, n := range rapid.SliceOfN(rapid.IntRange(1, 12), 1, 30).Draw(t, "sizes") {
			placements = append(placements, control.Placement{
				ID: fmt.Sprint(i), FailureDomain: "a", Accelerator: ingress.Accelerator{MemoryMB: float64(n)*1000 + 900},
			})
			layers += n
		}
		if layers < 2*m.Layers {
			return
		}
		if !control.CoversAll(m, placed(m, placements)) {
			t.Fatalf("got layers missing on engines for %d layers, want all %d held", layers, m.Layers)
		}
	})
}

// In any fleet, Cover assigns no engine more layers than leave memory for a KV
// cache, no layers outside the model, and nothing to engines in service.
func TestCoverFitsAnyFleet(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := &ingress.Model{
			Layers:    rapid.IntRange(1, 60).Draw(t, "layers"),
			LayerMB:   rapid.Float64Range(10, 2000).Draw(t, "layer"),
			KVTokenMB: rapid.Float64Range(0.01, 1).Draw(t, "kv"),
		}
		placements := drawPlacements(t, m)
		free := map[string]control.Placement{}
		for _, p := range placements {
			if p.Layers.Len() == 0 {
				free[p.ID] = p
			}
		}
		for _, a := range control.Cover(m, placements) {
			p, ok := free[a.ID]
			if !ok {
				t.Fatalf("got an assignment for %s, which is in service, want none", a.ID)
			}
			if a.Layers.From < 0 || a.Layers.To > m.Layers || a.Layers.Len() <= 0 {
				t.Fatalf("got layers %v, want a non-empty range of the %d layers", a.Layers, m.Layers)
			}
			if float64(a.Layers.Len())*m.LayerMB >= p.Accelerator.MemoryMB {
				t.Fatalf("got %d layers in %f MB, want memory left for a KV cache", a.Layers.Len(), p.Accelerator.MemoryMB)
			}
		}
		if move, ok := control.Repair(m, placements, func(string) bool { return true }); ok {
			if _, isFree := free[move.ID]; isFree || move.Layers.Len() <= 0 || move.Layers.To > m.Layers {
				t.Fatalf("got a move of %s to %v, want an engine in service and layers of the model", move.ID, move.Layers)
			}
		}
	})
}

// Layers that are missing because an engine drains are distinguished from those of
// an engine that crashed and may come back.
func TestPlannedLossTellsDrainsFromCrashes(t *testing.T) {
	t.Parallel()
	var left, drains, crashed []control.Placement
	for _, p := range placed(fleetModel, emptyFleet()) {
		switch p.ID {
		case "a-large-0":
			drains = append(drains, p)
		case "c-large-0":
			crashed = append(crashed, p)
		default:
			left = append(left, p)
		}
	}
	if !control.PlannedLoss(fleetModel, append(left[:len(left):len(left)], crashed...), drains) {
		t.Error("got a crash, want a planned loss")
	}
	if control.PlannedLoss(fleetModel, left, drains) {
		t.Error("got a planned loss, want a crash in addition")
	}
}

// A new engine is assigned layers that only one engine in the whole fleet holds,
// rather than layers that are missing only in its failure domain.
func TestCoverPrefersLayersScarceInTheFleet(t *testing.T) {
	t.Parallel()
	m := &ingress.Model{Layers: 4, LayerMB: 1000, KVTokenMB: 0.04}
	acc := ingress.Accelerator{MemoryMB: 3000}
	lower, upper := route.Range{From: 0, To: 2}, route.Range{From: 2, To: 4}
	placements := []control.Placement{
		{ID: "c1", FailureDomain: "c", Accelerator: acc, Layers: upper},
		{ID: "new", FailureDomain: "c", Accelerator: acc},
	}
	for _, domain := range []string{"a", "b", "d", "e"} {
		placements = append(placements, control.Placement{ID: domain, FailureDomain: domain, Accelerator: acc, Layers: lower})
	}
	assigned := control.Cover(m, placements)
	if len(assigned) != 1 || assigned[0].Layers != upper {
		t.Fatalf("got %v, want layers %v, which only one engine holds", assigned, upper)
	}
}

// drawPlacements draws a fleet in which some engines are in service.
func drawPlacements(t *rapid.T, m *ingress.Model) []control.Placement {
	var placements []control.Placement
	for i := range rapid.IntRange(0, 20).Draw(t, "engines") {
		p := control.Placement{
			ID: fmt.Sprint(i), FailureDomain: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"),
			Accelerator: ingress.Accelerator{MemoryMB: rapid.Float64Range(1, 50_000).Draw(t, "mb")},
		}
		if fits := int(p.Accelerator.MemoryMB / m.LayerMB); fits > 0 && rapid.Bool().Draw(t, "holds") {
			p.Layers.To = min(fits, m.Layers)
		}
		placements = append(placements, p)
	}
	return placements
}

// When an engine is lost permanently, moves of other engines in its failure domain
// cover its layers again. A fleet without losses needs no move.
func TestRepairCoversLostLayers(t *testing.T) {
	t.Parallel()
	placements := placed(fleetModel, emptyFleet())
	for _, lost := range []string{"a-large-0", "b-middle-3"} {
		var left []control.Placement
		domain := ""
		for _, p := range placements {
			if p.ID == lost {
				domain = p.FailureDomain
				continue
			}
			left = append(left, p)
		}
		moves := 0
		for ; moves < 5 && !control.CoversAll(fleetModel, inDomain(left, domain)); moves++ {
			move, ok := control.Repair(fleetModel, left, func(string) bool { return true })
			if !ok {
				break
			}
			for i := range left {
				if left[i].ID == move.ID {
					left[i].Layers = move.Layers
				}
			}
		}
		if !control.CoversAll(fleetModel, inDomain(left, domain)) {
			t.Errorf("got layers missing in %s %d moves after the loss of %s, want none", domain, moves, lost)
		}
	}
	if move, ok := control.Repair(fleetModel, placements, func(string) bool { return true }); ok {
		t.Errorf("got a move of %s in a fully covered fleet, want none", move.ID)
	}
}

// An engine that joins a fleet in service keeps as much KV-cache capacity as the
// others, even if a third of the engines is missing.
func TestNewEngineLeavesKVCapacity(t *testing.T) {
	t.Parallel()
	placements := placed(fleetModel, emptyFleet())
	var left []control.Placement
	for i, p := range placements {
		if i%3 != 0 {
			left = append(left, p)
		}
	}
	left = append(left, control.Placement{ID: "new", FailureDomain: "a", Accelerator: fleetModel.Accelerators["middle"]})
	assigned := control.Cover(fleetModel, left)
	if len(assigned) != 1 || assigned[0].ID != "new" {
		t.Fatalf("got %v, want layers for the new engine only", assigned)
	}
	n := assigned[0].Layers.Len()
	if capacity := fleetModel.KVCells(fleetModel.Accelerators["middle"], n) / float64(n); capacity < 50_000 {
		t.Errorf("got a capacity of %f tokens, want at least 50000", capacity)
	}
}

// assignInOrder is the baseline: it assigns layers in order, across all domains,
// in the order of the engines.
func assignInOrder(m *ingress.Model, free []control.Placement) []control.Placement {
	all := append([]control.Placement(nil), free...)
	at := 0
	for i := range all {
		n := int(all[i].Accelerator.MemoryMB * 0.93 / m.LayerMB)
		if at+n > m.Layers {
			at = 0
		}
		all[i].Layers = route.Range{From: at, To: at + n}
		at += n
	}
	return all
}

// coveredDomains returns the number of failure domains that hold all layers.
func coveredDomains(placements []control.Placement) int {
	n := 0
	for _, domain := range []string{"a", "b", "c"} {
		if control.CoversAll(fleetModel, inDomain(placements, domain)) {
			n++
		}
	}
	return n
}

// After random losses of 2 engines, more failure domains are still fully covered
// than if the layers had been assigned in order.
func TestCoverSurvivesLossesBetterThanInOrder(t *testing.T) {
	t.Parallel()
	rnd := rand.New(rand.NewPCG(1, 2))
	covered, coveredInOrder := 0, 0
	for range 300 {
		covering, inOrder := placed(fleetModel, emptyFleet()), assignInOrder(fleetModel, emptyFleet())
		lost := map[string]bool{}
		for range 2 {
			lost[covering[rnd.IntN(len(covering))].ID] = true
		}
		covered += coveredDomains(without(covering, lost))
		coveredInOrder += coveredDomains(without(inOrder, lost))
	}
	t.Logf("covered domains after a loss of 2 of 38 engines, of 900: %d, and %d assigned in order", covered, coveredInOrder)
	if covered <= coveredInOrder {
		t.Errorf("got %d covered domains, want more than the %d of assigning in order", covered, coveredInOrder)
	}
}

func without(placements []control.Placement, lost map[string]bool) []control.Placement {
	var left []control.Placement
	for _, p := range placements {
		if !lost[p.ID] {
			left = append(left, p)
		}
	}
	return left
}

// BenchmarkCover places a fleet of 1,600 engines, the design target.
func BenchmarkCover(b *testing.B) {
	var placements []control.Placement
	for i := range 1600 {
		kind := []string{"large", "middle", "small"}[i%3]
		placements = append(placements, control.Placement{
			ID: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 10), Accelerator: fleetModel.Accelerators[kind],
		})
	}
	for b.Loop() {
		control.Cover(fleetModel, placements)
	}
}
