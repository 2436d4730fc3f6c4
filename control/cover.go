package control

import (
	"cmp"
	"math"
	"slices"

	"bulrushshed/ingress"
	"bulrushshed/route"
)

// Site is an engine that can be given layers.
type Site struct {
	ID            string
	FailureDomain string
	Accelerator   ingress.Accelerator
	// Layers are those that it holds, or will once an order is done; empty
	// for an engine that is free.
	Layers route.Range
}

// Hold is the range that a free engine is to get.
type Hold struct {
	ID     string
	Layers route.Range
}

// roomSteps are the lengths of all streams in tokens, together, for which an
// engine's KV cache is to have room; the greatest is taken that leaves enough
// engines to cover the layers.
var roomSteps = []float64{100_000, 75_000, 50_000, 30_000, 15_000, 5_000}

const (
	// domainCopies is how often each failure domain is to cover all layers,
	// and fleetCopies how often all of them together if no domain can.
	domainCopies = 1.1
	fleetCopies  = 2.0
	// fleetWeight is what a layer counts that lacks room in the whole fleet,
	// beside one that lacks it in one failure domain: every stream passes it.
	fleetWeight = 8
	// urgency is how much more a layer counts that nobody in the failure
	// domain holds than one that is covered.
	urgency = 3
)

// Cover returns what the free engines are to hold, largest engines first.
//
// Each failure domain is covered by itself, since links between domains are
// shared by all streams. An engine takes as many layers as leave its KV cache
// room for the streams, and of all ranges the one whose layers have the least
// room in the domain.
func Cover(m *ingress.Model, sites []Site) []Hold {
	c := newCoverage(m, sites)
	var free []Site
	for _, s := range sites {
		if s.Layers.Len() > 0 {
			c.add(s, s.Layers)
			continue
		}
		free = append(free, s)
	}
	c.serving = Whole(m, sites)
	slices.SortFunc(free, func(a, b Site) int {
		return cmp.Or(cmp.Compare(b.Accelerator.MemoryMB, a.Accelerator.MemoryMB), cmp.Compare(a.ID, b.ID))
	})
	var holds []Hold
	for _, s := range free {
		n := c.size(s.Accelerator)
		if n == 0 {
			continue
		}
		r := c.best(s.FailureDomain, n)
		c.add(s, r)
		holds = append(holds, Hold{ID: s.ID, Layers: r})
	}
	return holds
}

// worthMoving is how many uncovered layers of a failure domain, about, an engine
// must take over for it to be moved there.
const worthMoving = 2.5

// Repair returns the engine that is best moved to other layers, and to which,
// if that covers layers that nobody in its failure domain holds. An engine is
// in its place when movable says no.
func Repair(m *ingress.Model, sites []Site, movable func(id string) bool) (h Hold, ok bool) {
	c := newCoverage(m, sites)
	for _, s := range sites {
		if s.Layers.Len() > 0 {
			c.add(s, s.Layers)
		}
	}
	most := worthMoving
	for _, s := range sites {
		n := s.Layers.Len()
		if n <= 0 || !movable(s.ID) {
			continue
		}
		before := c.need(s.FailureDomain)
		c.remove(s, s.Layers)
		r := c.best(s.FailureDomain, n)
		c.add(s, r)
		if gain := before - c.need(s.FailureDomain); gain > most {
			most, ok = gain, true
			h = Hold{ID: s.ID, Layers: r}
		}
		c.remove(s, r)
		c.add(s, s.Layers)
	}
	return h, ok
}

// Planned reports whether layers are missing only because engines drain. Those do
// not come back, so that nothing is gained by waiting for them.
func Planned(m *ingress.Model, sites, draining []Site) bool {
	_, missing := Repair(m, slices.Concat(sites, draining), func(string) bool { return true })
	return !missing
}

// Whole reports whether the sites together hold all layers.
func Whole(m *ingress.Model, sites []Site) bool {
	held := make([]bool, m.Layers)
	for _, s := range sites {
		for l := max(s.Layers.From, 0); l < min(s.Layers.To, m.Layers); l++ {
			held[l] = true
		}
	}
	return !slices.Contains(held, false)
}

// coverage is the room for streams, in tokens, that each failure domain has in
// each layer.
type coverage struct {
	model *ingress.Model
	room  map[string][]float64
	// fleet is the room in all domains together; it counts once the engines
	// serve, and not while the first ones are placed.
	fleet   []float64
	serving bool
	// step is the room that each engine is to have.
	step float64
}

func newCoverage(m *ingress.Model, sites []Site) *coverage {
	c := &coverage{model: m, room: map[string][]float64{}, fleet: make([]float64, m.Layers)}
	for _, s := range sites {
		if c.room[s.FailureDomain] == nil {
			c.room[s.FailureDomain] = make([]float64, m.Layers)
		}
	}
	c.step = c.chooseStep(sites)
	return c
}

// chooseStep returns the room that most engines in service have; before there
// are any, the greatest one that leaves enough copies of the layers.
func (c *coverage) chooseStep(sites []Site) float64 {
	var rooms []float64
	for _, s := range sites {
		if n := s.Layers.Len(); n > 0 {
			rooms = append(rooms, c.model.KVCells(s.Accelerator, n)/float64(n))
		}
	}
	if len(rooms) > 0 {
		slices.Sort(rooms)
		return max(rooms[len(rooms)/4], roomSteps[len(roomSteps)-1])
	}
	for _, enough := range []func(least, all float64) bool{
		func(least, _ float64) bool { return least >= domainCopies },
		func(_, all float64) bool { return all >= fleetCopies },
	} {
		for _, step := range roomSteps {
			if least, all := c.copies(sites, step); enough(least, all) {
				return step
			}
		}
	}
	return roomSteps[len(roomSteps)-1]
}

// copies returns how often the layers fit into the weakest failure domain, and
// into all, if every engine leaves a room.
func (c *coverage) copies(sites []Site, step float64) (least, all float64) {
	byDomain := map[string]float64{}
	for _, s := range sites {
		n := float64(sizeFor(c.model, s.Accelerator, step)) / float64(c.model.Layers)
		byDomain[s.FailureDomain] += n
		all += n
	}
	least = math.Inf(1)
	for _, n := range byDomain {
		least = min(least, n)
	}
	return least, all
}

// size is how many layers an engine takes.
func (c *coverage) size(a ingress.Accelerator) int { return sizeFor(c.model, a, c.step) }

func sizeFor(m *ingress.Model, a ingress.Accelerator, step float64) int {
	perLayer := m.LayerMB + step*m.KVTokenMB/float64(m.Layers)
	return min(int(a.MemoryMB/perLayer), m.Layers)
}

func (c *coverage) add(s Site, r route.Range) { c.change(s, r, 1) }

func (c *coverage) remove(s Site, r route.Range) { c.change(s, r, -1) }

func (c *coverage) change(s Site, r route.Range, sign float64) {
	room := sign * c.model.KVCells(s.Accelerator, r.Len()) / float64(r.Len())
	for l := max(r.From, 0); l < min(r.To, c.model.Layers); l++ {
		c.room[s.FailureDomain][l] += room
		c.fleet[l] += room
	}
}

// need sums up how much each layer of a failure domain needs another engine: 1
// for a layer that nobody there holds, little for one with much room, and more if
// the whole fleet lacks room in it.
func (c *coverage) need(domain string) float64 {
	sum := 0.0
	for l := range c.model.Layers {
		sum += c.layerNeed(domain, l)
	}
	return sum
}

func (c *coverage) layerNeed(domain string, l int) float64 {
	lack := func(room float64) float64 { return math.Pow(1+max(room, 0)/c.step, -urgency) }
	need := lack(c.room[domain][l])
	if c.serving {
		need += fleetWeight * lack(c.fleet[l])
	}
	return need
}

// best returns the range of n layers that most needs another engine in a
// failure domain.
func (c *coverage) best(domain string, n int) route.Range {
	need := make([]float64, c.model.Layers)
	for l := range need {
		need[l] = c.layerNeed(domain, l)
	}
	best, most := 0, -1.0
	for from := 0; from+n <= c.model.Layers; from++ {
		sum := 0.0
		for _, w := range need[from : from+n] {
			sum += w
		}
		if sum > most*(1+1e-9) {
			best, most = from, sum
		}
	}
	return route.Range{From: best, To: best + n}
}
