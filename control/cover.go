package control

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"bulrushshed/ingress"
	"bulrushshed/route"
)

// Placement describes an engine and the layers placed on it.
type Placement struct {
	ID            string
	FailureDomain string
	Accelerator   ingress.Accelerator
	// Layers is the range that the engine holds, or will hold once its pending
	// order is done; empty for a free engine.
	Layers route.Range
}

// Assignment is a range of layers that an engine is to hold.
type Assignment struct {
	ID     string
	Layers route.Range
}

// improvePasses is the number of times that each assignment is tried at all other layers.
const improvePasses = 3

// Cover assigns layers to the free engines.
//
// Each engine gets as many layers as leave it the target KV-cache capacity, and of all such
// ranges the one that reduces the cost of the coverage most (see coverage): the largest
// engines first, and then each of them again, given the others. Before that, some of the
// smallest engines get the first layers (see entryEngines), and each failure domain that can
// hold all layers gets one copy. If layers are left without any engine, those are assigned
// first, if necessary with less room for KV caches.
func Cover(m *ingress.Model, placements []Placement) []Assignment {
	free := freeEngines(placements)
	if len(free) == 0 {
		return nil
	}
	t := newTargets(m, placements)
	first := newAssigner(m, placements, free, t).assign()
	if CoversAll(m, apply(placements, first)) {
		return first
	}
	for _, limit := range lowerTargets(placements) {
		a := newAssigner(m, placements, free, t.atMost(limit))
		a.fillGaps(free, placements)
		if assignments := a.assign(); CoversAll(m, apply(placements, assignments)) {
			return assignments
		}
	}
	return first
}

// freeEngines returns the engines without layers, the largest first.
func freeEngines(placements []Placement) []Placement {
	var free []Placement
	for _, p := range placements {
		if p.Layers.Len() <= 0 {
			free = append(free, p)
		}
	}
	slices.SortFunc(free, func(a, b Placement) int {
		return cmp.Or(cmp.Compare(b.Accelerator.MemoryMB, a.Accelerator.MemoryMB), cmp.Compare(a.ID, b.ID))
	})
	return free
}

// apply returns the placements after the assignments.
func apply(placements []Placement, assignments []Assignment) []Placement {
	layers := make(map[string]route.Range, len(assignments))
	for _, a := range assignments {
		layers[a.ID] = a.Layers
	}
	all := slices.Clone(placements)
	for i := range all {
		if r, ok := layers[all[i].ID]; ok {
			all[i].Layers = r
		}
	}
	return all
}

// assigner assigns layers to free engines at one target capacity.
type assigner struct {
	coverage   *coverage
	placements []Placement
	// free has the engines to assign, the largest first. fixed has the IDs of those that
	// have their layers for another reason than the cost.
	free     []Placement
	fixed    map[string]bool
	assigned map[string]route.Range
}

func newAssigner(m *ingress.Model, placements, free []Placement, t targets) *assigner {
	return &assigner{
		coverage: newCoverage(m, placements, t), placements: placements, free: free,
		fixed: map[string]bool{}, assigned: map[string]route.Range{},
	}
}

func (a *assigner) set(p Placement, r route.Range) {
	a.coverage.add(p, r)
	a.assigned[p.ID] = r
}

// fillGaps assigns the layers that no engine holds, from the first to the last.
func (a *assigner) fillGaps(free, placements []Placement) {
	for _, p := range a.tile(free, placements) {
		a.fixed[p.ID] = true
	}
}

// tile assigns the layers that no engine of the placements holds, from the first to the
// last, to free engines. It returns those that it has used.
func (a *assigner) tile(free, placements []Placement) (used []Placement) {
	held := heldLayers(a.coverage.model, placements)
	for _, p := range free {
		from := slices.Index(held, false)
		n := a.coverage.layersOf(p)
		if from < 0 {
			break
		}
		if n == 0 {
			continue
		}
		from = min(from, len(held)-n)
		for l := from; l < from+n; l++ {
			held[l] = true
		}
		a.set(p, route.Range{From: from, To: from + n})
		used = append(used, p)
	}
	return used
}

// tileDomains lets each failure domain without engines in service that can hold all layers do
// so. It uses the smallest engines first: the layers of larger ones are then held twice, and
// streams that lose a large engine go on with others of their domain.
func (a *assigner) tileDomains() {
	domains := lo.GroupBy(a.placements, func(p Placement) string { return p.FailureDomain })
	for domain := range a.coverage.targets.byDomain {
		if slices.ContainsFunc(domains[domain], func(p Placement) bool { return p.Layers.Len() > 0 }) {
			continue
		}
		free := lo.Filter(a.unassigned(), func(p Placement, _ int) bool { return p.FailureDomain == domain })
		placed := lo.Map(domains[domain], func(p Placement, _ int) Placement {
			p.Layers = a.assigned[p.ID]
			return p
		})
		slices.Reverse(free)
		a.tile(free, placed)
	}
}

// assign assigns all free engines and returns the assignments.
func (a *assigner) assign() []Assignment {
	for _, p := range a.coverage.entryEngines(a.placements, a.unassigned()) {
		a.fixed[p.ID] = true
		a.set(p, route.Range{To: a.coverage.layersOf(p)})
	}
	a.tileDomains()
	for _, p := range a.unassigned() {
		if n := a.coverage.layersOf(p); n > 0 {
			a.set(p, a.coverage.bestRange(p, n))
		}
	}
	for range improvePasses {
		if !a.improve() {
			break
		}
	}
	assignments := make([]Assignment, 0, len(a.assigned))
	for _, p := range a.free {
		if r, ok := a.assigned[p.ID]; ok {
			assignments = append(assignments, Assignment{ID: p.ID, Layers: r})
		}
	}
	return assignments
}

func (a *assigner) unassigned() []Placement {
	return slices.DeleteFunc(slices.Clone(a.free), func(p Placement) bool {
		_, ok := a.assigned[p.ID]
		return ok
	})
}

// improve tries each engine at other layers, and reports whether any was assigned others. One
// that is fixed needs as good a reason as a repair.
func (a *assigner) improve() bool {
	improved := false
	for _, p := range a.free {
		r, ok := a.assigned[p.ID]
		if !ok {
			continue
		}
		least := minImprovement
		if a.fixed[p.ID] {
			least = minRepairGain
		}
		a.coverage.remove(p, r)
		best := a.coverage.bestRange(p, r.Len())
		if best != r && a.coverage.gain(p, best) > a.coverage.gain(p, r)+least {
			improved = true
			r = best
		}
		a.set(p, r)
	}
	return improved
}

// minImprovement is the reduction in cost that counts as an improvement. It exceeds rounding
// errors.
const minImprovement = 1e-6

// CoversAll reports whether the engines together hold all layers.
func CoversAll(m *ingress.Model, placements []Placement) bool {
	return !slices.Contains(heldLayers(m, placements), false)
}

// heldLayers reports for each layer whether an engine holds it.
func heldLayers(m *ingress.Model, placements []Placement) []bool {
	held := make([]bool, m.Layers)
	for _, p := range placements {
		for l := max(p.Layers.From, 0); l < min(p.Layers.To, m.Layers); l++ {
			held[l] = true
		}
	}
	return held
}
