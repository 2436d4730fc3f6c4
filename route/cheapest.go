package route

import (
	"cmp"
	"fmt"
	"slices"
)

// CostModel determines what it costs to run layers on an endpoint.
type CostModel struct {
	// PerLayer is the cost of one layer on an idle endpoint. PerHop is added
	// once for each hop through the endpoint.
	PerLayer float64
	PerHop   float64
	// Utilization is the fraction of the endpoint in use, and
	// UtilizationPerLayer what each layer adds to it. An endpoint does not
	// accept layers that raise it above MaxUtilization.
	Utilization         float64
	UtilizationPerLayer float64
	MaxUtilization      float64
	// Congestion is the relative extra cost of a layer on a fully utilized
	// endpoint. The extra cost grows with the fourth power of the utilization.
	Congestion float64
	// PreferredLayers is a range whose cost is multiplied by PreferredFactor;
	// empty for none.
	PreferredLayers Range
	PreferredFactor float64
}

// Cost returns the cost of a range of layers; ok is false if the range would
// exceed MaxUtilization.
func (c *CostModel) Cost(r Range) (cost float64, ok bool) {
	used := c.Utilization + c.UtilizationPerLayer*float64(r.Len())
	if used > c.MaxUtilization {
		return 0, false
	}
	cost = c.PerLayer*float64(r.Len())*(1+c.Congestion*used*used*used*used) + c.PerHop
	if r == c.PreferredLayers {
		cost *= c.PreferredFactor
	}
	return cost, true
}

// Query holds the cost functions and constraints of a route search.
type Query struct {
	// CostModel returns the cost model of a holding; ok is false if the
	// holding must not be used.
	CostModel func(h *Holding) (cost CostModel, ok bool)
	// CanStart reports whether a route may start at a holding; nil allows all.
	CanStart func(h *Holding) bool
	// CrossDomainCost is the cost of a link to another failure domain.
	CrossDomainCost float64
	// FirstHop is a fixed first hop of the route, at no cost; nil for any.
	FirstHop *Hop
}

// Cheapest returns the cheapest route that visits no endpoint twice. It fails
// with KindNoRoute if it finds none.
func (g *Graph) Cheapest(q Query) (r Route, cost float64, err error) {
	if r, cost, ok := newDomainSearch(g, q).findSimplePath(maxRestrictions); ok {
		return r, cost, nil
	}
	return Route{}, 0, &Error{Op: "cheapest", Kind: KindNoRoute, Reason: fmt.Sprintf(
		"no route through %d holdings of %s %s covers layers 0-%d", len(g.holdings), g.model, g.version, g.layers)}
}

const (
	// maxRestrictions is the number of endpoints that may be restricted at the
	// same time because the cheapest route visits them twice. maxSearches limits
	// the searches of one call of Cheapest.
	maxRestrictions = 3
	maxSearches     = 9
)

// findSimplePath searches for the cheapest route that visits no endpoint twice.
// If the unrestricted search visits an endpoint twice, it searches again with
// the endpoint restricted to its first range, to its last one, or to everything
// from the first to the last. It restricts at most restrictionsLeft endpoints in
// this way. This is a heuristic: it may miss the optimum.
func (s *domainSearch) findSimplePath(restrictionsLeft int) (r Route, cost float64, ok bool) {
	if s.searches == maxSearches {
		return Route{}, 0, false
	}
	s.searches++
	s.run()
	last := s.cheapest(len(s.graph.bounds) - 1)
	if last == noArrival {
		return Route{}, 0, false
	}
	r, cost = s.trace(last), s.arrivals[last].cost
	endpoint, ranges := r.repeatedEndpoint()
	if endpoint == "" {
		if err := r.Check(s.graph.layers); err != nil {
			panic(err)
		}
		return r, cost, true
	}
	if restrictionsLeft == 0 {
		return Route{}, 0, false
	}
	for _, allowed := range ranges {
		s.allowedRange[endpoint] = allowed
		if other, otherCost, found := s.findSimplePath(restrictionsLeft - 1); found && (!ok || otherCost < cost) {
			r, cost, ok = other, otherCost, true
		}
	}
	delete(s.allowedRange, endpoint)
	return r, cost, ok
}

// repeatedEndpoint returns an endpoint that the route visits twice, or "". The
// ranges are everything from its first to its last hop, the first hop's layers
// and the last hop's.
func (r Route) repeatedEndpoint() (endpoint string, ranges []Range) {
	for i, h := range r.Hops {
		for _, last := range slices.Backward(r.Hops[i+1:]) {
			if last.Endpoint == h.Endpoint {
				return h.Endpoint, []Range{{From: h.Layers.From, To: last.Layers.To}, h.Layers, last.Layers}
			}
		}
	}
	return "", nil
}

// PruneByLayer returns a graph with only those holdings that are among the
// cheapest perLayer holdings of at least one of their layers. Holdings that cannot
// run all their layers within MaxUtilization are left out.
func (g *Graph) PruneByLayer(q Query, perLayer int) *Graph {
	type candidate struct {
		holding      int
		costPerLayer float64
	}
	var candidates []candidate
	for i := range g.holdings {
		h := &g.holdings[i]
		model, ok := q.CostModel(h)
		if cost, fits := model.Cost(h.Layers); ok && fits {
			candidates = append(candidates, candidate{holding: i, costPerLayer: cost / float64(h.Layers.Len())})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.costPerLayer, b.costPerLayer) })
	holders := make([]int, g.layers)
	var kept []Holding
	for _, c := range candidates {
		h := g.holdings[c.holding]
		layerHolders := holders[h.Layers.From:h.Layers.To]
		if slices.Min(layerHolders) >= perLayer {
			continue
		}
		for l := range layerHolders {
			layerHolders[l]++
		}
		kept = append(kept, h)
	}
	return NewGraph(g.model, g.version, g.layers, kept)
}

// Len returns the number of holdings.
func (g *Graph) Len() int { return len(g.holdings) }

// noArrival is the index that stands for no arrival.
const noArrival = -1

// arrival is a partial route that runs all layers up to a bound. It stores only
// the last hop and refers to the arrival before that hop.
type arrival struct {
	cost    float64
	holding int
	// from is the bound at which the last hop starts. prev is the arrival at
	// that bound, or noArrival for the first hop.
	from int
	prev int
}

// domainSearch finds the cheapest route as a shortest path over bounds. Layers
// are run in order, so one pass over the bounds settles all costs.
//
// The cost of a link depends only on the failure domains of its ends, and a
// holding never follows itself. It is therefore enough to keep, for each bound
// and domain, the two cheapest arrivals from different holdings. Graph.search
// supports a cost for each link, as Plan needs, and compares all pairs.
type domainSearch struct {
	graph  *Graph
	query  Query
	costs  []CostModel
	usable []bool
	// domainIndex is the index of each holding's failure domain.
	domainIndex []int
	domainCount int
	// firstBound and lastBound are the indexes of the bounds at which each
	// holding starts and ends.
	firstBound []int
	lastBound  []int
	// arrivals are all arrivals found so far. best holds the indexes of the
	// two cheapest for each bound and domain.
	arrivals []arrival
	best     [][2]int
	// allowedRange has the only range that an endpoint may run, for the
	// endpoints that an earlier search visited twice.
	allowedRange map[string]Range
	// searches is the number of calls to findSimplePath.
	searches int
}

func newDomainSearch(g *Graph, q Query) *domainSearch {
	n := len(g.holdings)
	s := &domainSearch{
		graph: g, query: q, costs: make([]CostModel, n), usable: make([]bool, n), domainIndex: make([]int, n), firstBound: make([]int, n),
		lastBound: make([]int, n), allowedRange: map[string]Range{},
	}
	indexes := map[string]int{}
	for i := range g.holdings {
		h := &g.holdings[i]
		s.costs[i], s.usable[i] = q.CostModel(h)
		d, ok := indexes[h.FailureDomain]
		if !ok {
			d = len(indexes)
			indexes[h.FailureDomain] = d
		}
		s.domainIndex[i] = d
		s.firstBound[i], _ = slices.BinarySearch(g.bounds, h.Layers.From)
		s.lastBound[i], _ = slices.BinarySearch(g.bounds, h.Layers.To)
	}
	s.domainCount = len(indexes)
	s.best = make([][2]int, len(g.bounds)*s.domainCount)
	return s
}

func (s *domainSearch) run() {
	s.arrivals = s.arrivals[:0]
	for i := range s.best {
		s.best[i] = [2]int{noArrival, noArrival}
	}
	start := 0
	if s.query.FirstHop != nil {
		start = s.startWithFirstHop()
	}
	for a := start; a < len(s.graph.bounds)-1; a++ {
		for i := range s.costs {
			if s.usable[i] && s.firstBound[i] <= a && a < s.lastBound[i] {
				s.extend(a, i)
			}
		}
	}
}

// startWithFirstHop adds the query's first hop and returns the bound at which
// it ends, or the last bound if the endpoint no longer holds those layers.
func (s *domainSearch) startWithFirstHop() int {
	i, ok := s.graph.byEndpoint[s.query.FirstHop.Endpoint]
	b, found := slices.BinarySearch(s.graph.bounds, s.query.FirstHop.Layers.To)
	if !ok || !found || !s.graph.holdings[i].Layers.Covers(s.query.FirstHop.Layers) {
		return len(s.graph.bounds) - 1
	}
	s.addArrival(b, arrival{holding: i, prev: noArrival})
	s.usable[i] = false
	return b
}

// extend adds the arrivals by hops of holding i that start at bound a.
func (s *domainSearch) extend(a, i int) {
	h := &s.graph.holdings[i]
	prev, cost := s.bestPredecessor(a, i)
	if prev == noArrival && a > 0 || a == 0 && s.query.CanStart != nil && !s.query.CanStart(h) {
		return
	}
	allowed, restricted := s.allowedRange[h.Endpoint]
	for b := a + 1; b <= s.lastBound[i]; b++ {
		layers := Range{From: s.graph.bounds[a], To: s.graph.bounds[b]}
		if restricted && layers != allowed {
			continue
		}
		hopCost, ok := s.costs[i].Cost(layers)
		if !ok {
			return
		}
		s.addArrival(b, arrival{cost: cost + hopCost, holding: i, from: a, prev: prev})
	}
}

// bestPredecessor returns the cheapest arrival at bound a that holding i can
// follow, with the cost including the link.
func (s *domainSearch) bestPredecessor(a, i int) (prev int, cost float64) {
	if a == 0 {
		return noArrival, 0
	}
	prev = noArrival
	for d := range s.domainCount {
		link := 0.0
		if d != s.domainIndex[i] {
			link = s.query.CrossDomainCost
		}
		for _, n := range s.best[a*s.domainCount+d] {
			if n == noArrival || s.arrivals[n].holding == i {
				continue
			}
			if c := s.arrivals[n].cost + link; prev == noArrival || c < cost {
				prev, cost = n, c
			}
			break
		}
	}
	return prev, cost
}

// addArrival records an arrival if it is one of the two cheapest from different
// holdings at its bound and domain.
func (s *domainSearch) addArrival(b int, a arrival) {
	best := &s.best[b*s.domainCount+s.domainIndex[a.holding]]
	switch {
	case best[0] == noArrival || s.arrivals[best[0]].holding == a.holding:
		if best[0] != noArrival && s.arrivals[best[0]].cost <= a.cost {
			return
		}
		best[0] = len(s.arrivals)
	case a.cost < s.arrivals[best[0]].cost:
		best[1] = best[0]
		best[0] = len(s.arrivals)
	case best[1] == noArrival || a.cost < s.arrivals[best[1]].cost:
		best[1] = len(s.arrivals)
	default:
		return
	}
	s.arrivals = append(s.arrivals, a)
}

func (s *domainSearch) cheapest(b int) int {
	best := noArrival
	for d := range s.domainCount {
		if n := s.best[b*s.domainCount+d][0]; n != noArrival && (best == noArrival || s.arrivals[n].cost < s.arrivals[best].cost) {
			best = n
		}
	}
	return best
}

// trace builds the route by following arrivals back from the last one.
func (s *domainSearch) trace(last int) Route {
	r := Route{Model: s.graph.model, Version: s.graph.version}
	b := s.graph.layers
	for n := last; n != noArrival; n = s.arrivals[n].prev {
		a := s.arrivals[n]
		h := &s.graph.holdings[a.holding]
		from := s.graph.bounds[a.from]
		r.Hops = append(r.Hops, Hop{
			Endpoint: h.Endpoint, Address: h.Address, Incarnation: h.Incarnation, Layers: Range{From: from, To: b},
		})
		b = from
	}
	slices.Reverse(r.Hops)
	return r
}
