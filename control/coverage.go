package control

import (
	"bulrushshed/ingress"
	"bulrushshed/route"
)

const (
	// fleetWeight is the weight of a layer's shortage in the whole fleet
	// relative to its shortage in one failure domain. It is greater because a
	// layer that is short in the whole fleet limits every stream.
	fleetWeight = 8
	// lossWeight is the weight of the shortage that a layer would have in the whole fleet
	// after the loss of one engine, or of the failure domain with most of its capacity.
	lossWeight = 4
	// holeCost is added to the shortage of a layer without any capacity, since streams that
	// need one such layer cannot use the others either.
	holeCost = 1
	// partialDomainWeight is the weight of a layer's shortage in a failure domain whose
	// engines cannot hold all layers. Its streams leave the domain in any case.
	partialDomainWeight = 0.1
)

// coverage tracks the KV-cache capacity for each layer, in tokens. The capacity of
// an engine is its number of KV cells, each for one token in one layer, divided by
// its number of layers.
//
// Its cost is the sum of the shortages of all layers, in each failure domain, since the
// links between domains are shared by all streams, and in the whole fleet: now, and after
// the loss of an engine or of a domain. A shortage is greatest without any
// capacity, and approaches 0 with the third power of the capacity.
type coverage struct {
	model   *ingress.Model
	targets targets
	// domains has the index of each failure domain in weights, domainTargets and byDomain.
	domains map[string]int
	// weights has the weight of the shortages in each domain, and domainTargets the target
	// capacity there.
	weights       []float64
	domainTargets []float64
	// losable has whether the other domains can hold all layers after the loss of a domain.
	losable []bool
	// byDomain has the capacity of each layer in each domain, and fleet that of all domains
	// together.
	byDomain [][]float64
	fleet    []float64
}

// newCoverage returns the coverage by the engines in service.
func newCoverage(m *ingress.Model, placements []Placement, t targets) *coverage {
	c := &coverage{model: m, targets: t, domains: map[string]int{}, fleet: make([]float64, m.Layers)}
	layers, all := map[string]int{}, 0
	for _, p := range placements {
		n := c.layersOf(p)
		layers[p.FailureDomain] += n
		all += n
	}
	for domain, n := range layers {
		c.domains[domain] = len(c.weights)
		weight := 1.0
		if n < m.Layers {
			weight = partialDomainWeight
		}
		c.weights = append(c.weights, weight)
		c.domainTargets = append(c.domainTargets, t.of(domain))
		c.losable = append(c.losable, all-n >= m.Layers)
		c.byDomain = append(c.byDomain, make([]float64, m.Layers))
	}
	for _, p := range placements {
		if p.Layers.Len() > 0 {
			c.add(p, p.Layers)
		}
	}
	return c
}

// layersOf returns the number of layers that an engine holds, or is to hold if it is free.
func (c *coverage) layersOf(p Placement) int {
	if n := p.Layers.Len(); n > 0 {
		return n
	}
	return layersThatFit(c.model, p.Accelerator, c.targets.of(p.FailureDomain))
}

func (c *coverage) add(p Placement, r route.Range) { c.update(p, r, 1) }

func (c *coverage) remove(p Placement, r route.Range) { c.update(p, r, -1) }

func (c *coverage) update(p Placement, r route.Range, sign float64) {
	delta := sign * c.capacityOf(p, r.Len())
	domain := c.byDomain[c.domains[p.FailureDomain]]
	for l := max(r.From, 0); l < min(r.To, c.model.Layers); l++ {
		domain[l] += delta
		c.fleet[l] += delta
	}
}

func (c *coverage) capacityOf(p Placement, layers int) float64 {
	return c.model.KVCells(p.Accelerator, layers) / float64(layers)
}

// shortage returns the shortage at a capacity, given the target.
func shortage(capacity, target float64) float64 {
	if capacity < 1 {
		return 1 + holeCost
	}
	s := target / (target + max(capacity, 0))
	return s * s * s
}

// layerCost returns the cost of a layer in one domain and the whole fleet, if that domain's
// capacity for it were greater by extra.
func (c *coverage) layerCost(domain, l int, extra float64) float64 {
	most := 0.0
	for d := range c.byDomain {
		if !c.losable[d] {
			continue
		}
		capacity := c.byDomain[d][l]
		if d == domain {
			capacity += extra
		}
		most = max(most, capacity)
	}
	fleet, target := c.fleet[l]+extra, c.targets.fleet
	fleetCost := fleetWeight*shortage(fleet, target) + lossWeight*(shortage(fleet-target, target)+shortage(fleet-most, target))
	return c.weights[domain]*shortage(c.byDomain[domain][l]+extra, c.domainTargets[domain]) + fleetCost
}

// layerGain returns by how much the cost of a layer falls if an engine's capacity is added.
func (c *coverage) layerGain(domain, l int, capacity float64) float64 {
	return c.layerCost(domain, l, 0) - c.layerCost(domain, l, capacity)
}

// gain returns by how much the cost falls if an engine holds a range.
func (c *coverage) gain(p Placement, r route.Range) float64 {
	domain, capacity := c.domains[p.FailureDomain], c.capacityOf(p, r.Len())
	sum := 0.0
	for l := max(r.From, 0); l < min(r.To, c.model.Layers); l++ {
		sum += c.layerGain(domain, l, capacity)
	}
	return sum
}

// bestRange returns the range of n layers at which an engine reduces the cost most.
func (c *coverage) bestRange(p Placement, n int) route.Range {
	domain, capacity := c.domains[p.FailureDomain], c.capacityOf(p, n)
	gains := make([]float64, c.model.Layers)
	for l := range gains {
		gains[l] = c.layerGain(domain, l, capacity)
	}
	sum := 0.0
	for _, g := range gains[:n] {
		sum += g
	}
	best, highest := 0, sum
	for from := 1; from+n <= c.model.Layers; from++ {
		sum += gains[from+n-1] - gains[from-1]
		if sum > highest+minImprovement {
			best, highest = from, sum
		}
	}
	return route.Range{From: best, To: best + n}
}
