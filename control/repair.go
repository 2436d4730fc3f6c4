package control

import (
	"math"
	"slices"

	"bulrushshed/ingress"
	"bulrushshed/route"
)

const (
	// minRepairGain is the reduction in cost that justifies moving an engine: about that of
	// two layers that no engine of a failure domain holds.
	minRepairGain = 4
	// minExtensionGain is the one that justifies loading more layers onto an engine. It
	// goes on serving those that it holds.
	minExtensionGain = 0.5
	// minExtendedCapacity is the fraction of the target capacity that an engine must keep
	// with more layers.
	minExtendedCapacity = 0.25
)

// Changes are the kinds of changes that a repair may consist of.
type Changes int

// The kinds of changes.
const (
	// AnyChange allows engines to give up layers.
	AnyChange Changes = iota
	// Extensions only load layers beside those that engines hold.
	Extensions
)

// Repair returns the change of an engine in service that reduces the cost of the coverage
// most per layer that must be loaded: more layers beside those that it holds, or other ones.
// ok is false if none reduces it by more than minExtensionGain or minRepairGain. Engines for
// which movable returns false keep their layers.
func Repair(m *ingress.Model, placements []Placement, movable func(id string) bool) (a Assignment, ok bool) {
	return repair(m, placements, movable, AnyChange)
}

func repair(m *ingress.Model, placements []Placement, movable func(id string) bool, changes Changes) (a Assignment, ok bool) {
	c := newCoverage(m, placements, newTargets(m, placements))
	var best candidate
	for _, p := range placements {
		if p.Layers.Len() <= 0 || p.Layers.From < 0 || p.Layers.To > m.Layers || !movable(p.ID) {
			continue
		}
		if found := c.bestChange(p, changes); found.better(best) {
			best = found
		}
	}
	return best.Assignment, best.loads > 0
}

// Repairs returns up to limit changes as Repair does, each given those before it. No engine
// is changed twice.
func Repairs(m *ingress.Model, placements []Placement, movable func(id string) bool, changes Changes, limit int) []Assignment {
	var all []Assignment
	for len(all) < limit {
		a, ok := repair(m, apply(placements, all), func(id string) bool {
			return movable(id) && !slices.ContainsFunc(all, func(a Assignment) bool { return a.ID == id })
		}, changes)
		if !ok {
			break
		}
		all = append(all, a)
	}
	return all
}

// candidate is a change of one engine.
type candidate struct {
	Assignment
	gain float64
	// loads is the number of layers to load; 0 if there is no change.
	loads int
}

// better compares by the gain per layer loaded.
func (c candidate) better(other candidate) bool {
	return c.loads > 0 && (other.loads == 0 || c.gain*float64(other.loads) > other.gain*float64(c.loads))
}

// bestChange returns the best change of one engine.
func (c *coverage) bestChange(p Placement, changes Changes) (best candidate) {
	held, scarcest := c.gainWithout(p), slices.Min(c.fleet)
	c.remove(p, p.Layers)
	defer c.add(p, p.Layers)
	consider := func(r route.Range, least float64) {
		found := candidate{Assignment: Assignment{ID: p.ID, Layers: r}, gain: c.gain(p, r) - held, loads: r.Len() - overlap(r, p.Layers)}
		if found.gain > least && found.better(best) && c.scarcestWith(p, r) > scarcest-1 {
			best = found
		}
	}
	if changes == AnyChange {
		consider(c.bestRange(p, p.Layers.Len()), minRepairGain)
	}
	least := minExtendedCapacity * c.targets.of(p.FailureDomain)
	for n := p.Layers.Len() + 1; n <= c.model.Layers && c.capacityOf(p, n) >= least; n++ {
		for from := max(p.Layers.To-n, 0); from <= min(p.Layers.From, c.model.Layers-n); from++ {
			consider(route.Range{From: from, To: from + n}, minExtensionGain)
		}
	}
	return best
}

// scarcestWith returns the capacity of the scarcest layer in the fleet if an engine also holds
// a range. No change may lower it, since it limits all streams.
func (c *coverage) scarcestWith(p Placement, r route.Range) float64 {
	capacity := c.capacityOf(p, r.Len())
	scarcest := math.Inf(1)
	for l, fleet := range c.fleet {
		if r.From <= l && l < r.To {
			fleet += capacity
		}
		scarcest = min(scarcest, fleet)
	}
	return scarcest
}

// gainWithout returns by how much the cost falls by what an engine holds.
func (c *coverage) gainWithout(p Placement) float64 {
	c.remove(p, p.Layers)
	defer c.add(p, p.Layers)
	return c.gain(p, p.Layers)
}

// PlannedLoss reports whether layers are missing only because engines are
// draining. Draining engines do not come back, so there is no point in waiting
// for them.
func PlannedLoss(m *ingress.Model, placements, draining []Placement) bool {
	_, otherLoss := Repair(m, slices.Concat(placements, draining), func(string) bool { return true })
	return !otherLoss
}
