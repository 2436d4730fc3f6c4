package route

import "slices"

// searchCosts are the cost functions of a search. Each also reports whether the
// holding or link can be used.
type searchCosts struct {
	// run returns the cost of running layers on a holding.
	run func(holding int, layers Range) (float64, bool)
	// link returns the cost of the link between two holdings.
	link func(from, to int) (float64, bool)
}

// partialRoute is the cheapest known route through all layers up to a bound
// that ends with a given holding.
type partialRoute struct {
	cost    float64
	reached bool
	// from is the bound at which the last hop starts.
	from int
	// prev is the holding of the hop before, or start for the first hop.
	prev int
}

const (
	// start and unreachable stand for a holding in the result of
	// bestPredecessor: start if the hop is the first one of its route, and
	// unreachable if no hop can precede it.
	start       = -1
	unreachable = -2
)

// search returns the cheapest route.
//
// It computes a shortest path over pairs of a bound and the last holding. Layers
// are run in order, so every edge leads to a later bound and one pass over the
// bounds settles all costs.
func (g *Graph) search(c searchCosts) (r Route, ok bool) {
	partials := make([][]partialRoute, len(g.bounds))
	for b := range partials {
		partials[b] = make([]partialRoute, len(g.holdings))
	}
	for b := 1; b < len(g.bounds); b++ {
		for i := range g.holdings {
			g.settle(partials, b, i, c)
		}
	}
	last := cheapest(partials[len(g.bounds)-1])
	if last < 0 {
		return Route{}, false
	}
	r = g.trace(partials, last)
	if err := r.Check(g.layers); err != nil {
		panic(err)
	}
	return r, true
}

// settle finds the cheapest partial route that reaches bound b with holding i.
func (g *Graph) settle(partials [][]partialRoute, b, i int, c searchCosts) {
	h := g.holdings[i]
	if h.Layers.To < g.bounds[b] {
		return
	}
	for a := range b {
		if g.bounds[a] < h.Layers.From {
			continue
		}
		run, ok := c.run(i, Range{From: g.bounds[a], To: g.bounds[b]})
		if !ok {
			return
		}
		prev, cost := bestPredecessor(partials[a], a, i, c)
		if prev == unreachable {
			continue
		}
		if s := &partials[b][i]; !s.reached || cost+run < s.cost {
			*s = partialRoute{cost: cost + run, reached: true, from: a, prev: prev}
		}
	}
}

// bestPredecessor returns the holding from which it is cheapest to switch to
// holding i at bound a.
func bestPredecessor(partials []partialRoute, a, i int, c searchCosts) (prev int, cost float64) {
	if a == 0 {
		return start, 0
	}
	prev = unreachable
	for j, s := range partials {
		if !s.reached || j == i {
			continue
		}
		link, ok := c.link(j, i)
		if n := s.cost + link; ok && (prev == unreachable || n < cost) {
			prev = j
			cost = n
		}
	}
	return prev, cost
}

func cheapest(partials []partialRoute) int {
	best := -1
	for i, s := range partials {
		if s.reached && (best < 0 || s.cost < partials[best].cost) {
			best = i
		}
	}
	return best
}

// trace builds the route by following partial routes back from the last holding.
func (g *Graph) trace(partials [][]partialRoute, last int) Route {
	r := Route{Model: g.model, Version: g.version}
	for b, i := len(g.bounds)-1, last; i != start; {
		s := partials[b][i]
		h := g.holdings[i]
		r.Hops = append(r.Hops, Hop{
			Endpoint: h.Endpoint, Address: h.Address, Incarnation: h.Incarnation,
			Layers: Range{From: g.bounds[s.from], To: g.bounds[b]},
		})
		b, i = s.from, s.prev
	}
	slices.Reverse(r.Hops)
	return r
}
