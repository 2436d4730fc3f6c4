package control

import (
	"cmp"
	"math"
	"slices"

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

// capacitySteps are the candidates for the KV-cache capacity of each engine, in
// tokens summed over all streams. The largest is used that leaves enough engines
// to cover the layers.
var capacitySteps = []float64{100_000, 75_000, 50_000, 30_000, 15_000, 5_000}

const (
	// domainCopies is the number of copies of all layers that each failure
	// domain should hold. If that is not possible, fleetCopies is the number
	// that all domains together should hold.
	domainCopies = 1.1
	fleetCopies  = 2.0
	// fleetWeight is the weight of a layer's shortage in the whole fleet
	// relative to its shortage in one failure domain. It is greater because a
	// layer that is short in the whole fleet limits every stream.
	fleetWeight = 8
	// shortageExponent determines how quickly the shortage of a layer falls as
	// its capacity grows. The higher it is, the more an uncovered layer counts
	// relative to a covered one.
	shortageExponent = 3
)

// Cover assigns layers to the free engines, starting with the largest.
//
// It covers each failure domain separately, because the links between domains
// are shared by all streams. An engine gets as many layers as leave it the target
// KV-cache capacity, and of all such ranges the one with the greatest shortage of
// capacity in its domain. Some of the smallest engines get the first layers before that
// (see entryEngines).
func Cover(m *ingress.Model, placements []Placement) []Assignment {
	c := newCoverage(m, placements)
	var free []Placement
	for _, p := range placements {
		if p.Layers.Len() > 0 {
			c.add(p, p.Layers)
			continue
		}
		free = append(free, p)
	}
	c.coversAll = CoversAll(m, placements)
	slices.SortFunc(free, func(a, b Placement) int {
		return cmp.Or(cmp.Compare(b.Accelerator.MemoryMB, a.Accelerator.MemoryMB), cmp.Compare(a.ID, b.ID))
	})
	var assignments []Assignment
	assign := func(p Placement, r route.Range) {
		c.add(p, r)
		assignments = append(assignments, Assignment{ID: p.ID, Layers: r})
	}
	entries := map[string]bool{}
	for _, p := range c.entryEngines(placements, free) {
		entries[p.ID] = true
		assign(p, route.Range{To: c.layersFor(p.Accelerator)})
	}
	for _, p := range free {
		if n := c.layersFor(p.Accelerator); n > 0 && !entries[p.ID] {
			assign(p, c.scarcestRange(p.FailureDomain, n))
		}
	}
	return assignments
}

// minRepairGain is the reduction in shortage that justifies moving an engine. It
// is roughly the number of uncovered layers that the engine must take over.
const minRepairGain = 2.5

// Repair returns the move of an engine in service that best reduces the shortage
// of capacity in its failure domain. ok is false if no move reduces it by more than
// minRepairGain. Engines for which movable returns false stay where they are.
func Repair(m *ingress.Model, placements []Placement, movable func(id string) bool) (a Assignment, ok bool) {
	c := newCoverage(m, placements)
	for _, p := range placements {
		if p.Layers.Len() > 0 {
			c.add(p, p.Layers)
		}
	}
	bestGain := minRepairGain
	for _, p := range placements {
		n := p.Layers.Len()
		if n <= 0 || !movable(p.ID) {
			continue
		}
		before := c.shortage(p.FailureDomain)
		c.remove(p, p.Layers)
		r := c.scarcestRange(p.FailureDomain, n)
		c.add(p, r)
		if gain := before - c.shortage(p.FailureDomain); gain > bestGain {
			bestGain, ok = gain, true
			a = Assignment{ID: p.ID, Layers: r}
		}
		c.remove(p, r)
		c.add(p, p.Layers)
	}
	return a, ok
}

// PlannedLoss reports whether layers are missing only because engines are
// draining. Draining engines do not come back, so there is no point in waiting
// for them.
func PlannedLoss(m *ingress.Model, placements, draining []Placement) bool {
	_, otherLoss := Repair(m, slices.Concat(placements, draining), func(string) bool { return true })
	return !otherLoss
}

// CoversAll reports whether the engines together hold all layers.
func CoversAll(m *ingress.Model, placements []Placement) bool {
	held := make([]bool, m.Layers)
	for _, p := range placements {
		for l := max(p.Layers.From, 0); l < min(p.Layers.To, m.Layers); l++ {
			held[l] = true
		}
	}
	return !slices.Contains(held, false)
}

// coverage tracks the KV-cache capacity for each layer, in tokens. The capacity of
// an engine is its number of KV cells, each for one token in one layer, divided by
// its number of layers.
type coverage struct {
	model *ingress.Model
	// capacity holds the capacity of each layer, by failure domain.
	capacity map[string][]float64
	// fleetCapacity is the capacity of all domains together. It is considered
	// only if coversAll is set, that is, if the engines in service hold all layers
	// when free engines are assigned layers. It is not considered during the first
	// placement.
	fleetCapacity []float64
	coversAll     bool
	// targetCapacity is the KV-cache capacity that each engine should have.
	targetCapacity float64
}

func newCoverage(m *ingress.Model, placements []Placement) *coverage {
	c := &coverage{model: m, capacity: map[string][]float64{}, fleetCapacity: make([]float64, m.Layers)}
	for _, p := range placements {
		if c.capacity[p.FailureDomain] == nil {
			c.capacity[p.FailureDomain] = make([]float64, m.Layers)
		}
	}
	c.targetCapacity = c.chooseTarget(placements)
	return c
}

// chooseTarget returns the lower quartile of the capacities of the engines in
// service, but at least the smallest of capacitySteps. If no engine is in service,
// it returns the largest step at which the engines hold enough copies of the layers,
// or else the smallest one.
func (c *coverage) chooseTarget(placements []Placement) float64 {
	var capacities []float64
	for _, p := range placements {
		if n := p.Layers.Len(); n > 0 {
			capacities = append(capacities, c.model.KVCells(p.Accelerator, n)/float64(n))
		}
	}
	if len(capacities) > 0 {
		slices.Sort(capacities)
		return max(capacities[len(capacities)/4], capacitySteps[len(capacitySteps)-1])
	}
	for _, enough := range []func(least, all float64) bool{
		func(least, _ float64) bool { return least >= domainCopies },
		func(_, all float64) bool { return all >= fleetCopies },
	} {
		for _, target := range capacitySteps {
			if least, all := c.copies(placements, target); enough(least, all) {
				return target
			}
		}
	}
	return capacitySteps[len(capacitySteps)-1]
}

// copies returns how many copies of all layers fit into the smallest failure
// domain, and into all domains together, if each engine has the target capacity.
func (c *coverage) copies(placements []Placement, target float64) (least, all float64) {
	byDomain := map[string]float64{}
	for _, p := range placements {
		n := float64(layersThatFit(c.model, p.Accelerator, target)) / float64(c.model.Layers)
		byDomain[p.FailureDomain] += n
		all += n
	}
	least = math.Inf(1)
	for _, n := range byDomain {
		least = min(least, n)
	}
	return least, all
}

// layersFor returns the number of layers to assign to an engine.
func (c *coverage) layersFor(a ingress.Accelerator) int {
	return layersThatFit(c.model, a, c.targetCapacity)
}

func layersThatFit(m *ingress.Model, a ingress.Accelerator, target float64) int {
	perLayer := m.LayerMB + target*m.KVTokenMB/float64(m.Layers)
	return min(int(a.MemoryMB/perLayer), m.Layers)
}

func (c *coverage) add(p Placement, r route.Range) { c.update(p, r, 1) }

func (c *coverage) remove(p Placement, r route.Range) { c.update(p, r, -1) }

func (c *coverage) update(p Placement, r route.Range, sign float64) {
	delta := sign * c.model.KVCells(p.Accelerator, r.Len()) / float64(r.Len())
	for l := max(r.From, 0); l < min(r.To, c.model.Layers); l++ {
		c.capacity[p.FailureDomain][l] += delta
		c.fleetCapacity[l] += delta
	}
}

// shortage returns the sum of the shortages of all layers in a failure domain. The
// shortage of a layer is 1 if no engine in the domain holds it, and approaches 0
// as its capacity grows. If coversAll is set, the shortage of the layer in the whole
// fleet adds to it.
func (c *coverage) shortage(domain string) float64 {
	sum := 0.0
	for l := range c.model.Layers {
		sum += c.layerShortage(domain, l)
	}
	return sum
}

func (c *coverage) layerShortage(domain string, l int) float64 {
	shortage := func(capacity float64) float64 {
		return math.Pow(1+max(capacity, 0)/c.targetCapacity, -shortageExponent)
	}
	sum := shortage(c.capacity[domain][l])
	if c.coversAll {
		sum += fleetWeight * shortage(c.fleetCapacity[l])
	}
	return sum
}

// scarcestRange returns the range of n layers with the greatest shortage in a
// failure domain.
func (c *coverage) scarcestRange(domain string, n int) route.Range {
	shortage := make([]float64, c.model.Layers)
	for l := range shortage {
		shortage[l] = c.layerShortage(domain, l)
	}
	best, highest := 0, -1.0
	for from := 0; from+n <= c.model.Layers; from++ {
		sum := 0.0
		for _, s := range shortage[from : from+n] {
			sum += s
		}
		if sum > highest*(1+1e-9) {
			best, highest = from, sum
		}
	}
	return route.Range{From: best, To: best + n}
}
