package control

import "slices"

const (
	// entryShare is the inverse of the share of a failure domain's engines that should
	// hold the first layers.
	entryShare = 4
	// entrySpare is the fraction of the layers that a domain can hold beyond one copy of
	// the model that may be used for further copies of the first layers.
	entrySpare = 0.5
)

// entryEngines returns the free engines that are to hold the first layers, the smallest
// ones of each failure domain.
//
// The engine that holds a stream's first layers receives its request. If that engine
// crashes, its streams break off, while streams that lose another engine are rerouted;
// and it is the one that a request can crash. So each domain has many such engines, with
// few layers each: a crash then costs little, and the layers are soon loaded again.
func (c *coverage) entryEngines(placements, free []Placement) []Placement {
	wanted := c.wantedEntries(placements)
	var chosen []Placement
	for _, p := range slices.Backward(free) {
		if wanted[p.FailureDomain] > 0 && c.layersOf(p) > 0 {
			wanted[p.FailureDomain]--
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// wantedEntries returns how many more engines of each failure domain should hold the
// first layers.
func (c *coverage) wantedEntries(placements []Placement) map[string]int {
	type domain struct{ engines, entries, layers, smallest int }
	domains := map[string]*domain{}
	for _, p := range placements {
		n := c.layersOf(p)
		if n == 0 {
			continue
		}
		d, ok := domains[p.FailureDomain]
		if !ok {
			d = &domain{smallest: n}
			domains[p.FailureDomain] = d
		}
		d.engines++
		d.layers += n
		d.smallest = min(d.smallest, n)
		if p.Layers.Len() > 0 && p.Layers.From == 0 {
			d.entries++
		}
	}
	wanted := map[string]int{}
	for name, d := range domains {
		spare := int(entrySpare * float64(d.layers-c.model.Layers))
		copies := 1 + max(spare, 0)/d.smallest
		if total := min(d.engines/entryShare, copies); total > 1 {
			wanted[name] = total - d.entries
		}
	}
	return wanted
}
