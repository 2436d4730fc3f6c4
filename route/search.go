package route

import "slices"

// prices are what a search adds up. Each says whether the thing can be had.
type prices struct {
	// run is the price of running layers on a holding.
	run func(holding int, layers Range) (float64, bool)
	// link is the price of the way from one holding to another.
	link func(from, to int) (float64, bool)
}

// step is the cheapest known way to run all layers up to a bound with one
// holding last.
type step struct {
	cost    float64
	reached bool
	// from is the bound at which the last holding began.
	from int
	// before is the holding that ran the layers before, or start.
	before int
}

const (
	start       = -1
	unreachable = -2
)

// search returns the cheapest route.
//
// It is a shortest path over (bound, last holding): layers are run in order,
// so every edge leads to a later bound and one pass over the bounds settles
// all costs.
func (m *Graph) search(p prices) (r Route, ok bool) {
	steps := make([][]step, len(m.bounds))
	for b := range steps {
		steps[b] = make([]step, len(m.holdings))
	}
	for b := 1; b < len(m.bounds); b++ {
		for i := range m.holdings {
			m.settle(steps, b, i, p)
		}
	}
	last := cheapest(steps[len(m.bounds)-1])
	if last < 0 {
		return Route{}, false
	}
	r = m.trace(steps, last)
	if err := r.Check(m.layers); err != nil {
		panic(err)
	}
	return r, true
}

// settle finds the cheapest way to reach bound b with holding i last.
func (m *Graph) settle(steps [][]step, b, i int, p prices) {
	h := m.holdings[i]
	if h.Layers.To < m.bounds[b] {
		return
	}
	for a := range b {
		if m.bounds[a] < h.Layers.From {
			continue
		}
		run, ok := p.run(i, Range{From: m.bounds[a], To: m.bounds[b]})
		if !ok {
			return
		}
		before, cost := enter(steps[a], a, i, p)
		if before == unreachable {
			continue
		}
		if s := &steps[b][i]; !s.reached || cost+run < s.cost {
			*s = step{cost: cost + run, reached: true, from: a, before: before}
		}
	}
}

// enter finds the cheapest way to hand over to holding i at bound a.
func enter(steps []step, a, i int, p prices) (before int, cost float64) {
	if a == 0 {
		return start, 0
	}
	before = unreachable
	for j, s := range steps {
		if !s.reached || j == i {
			continue
		}
		link, ok := p.link(j, i)
		if n := s.cost + link; ok && (before == unreachable || n < cost) {
			before = j
			cost = n
		}
	}
	return before, cost
}

func cheapest(steps []step) int {
	best := -1
	for i, s := range steps {
		if s.reached && (best < 0 || s.cost < steps[best].cost) {
			best = i
		}
	}
	return best
}

// trace follows the settled steps back from the last holding.
func (m *Graph) trace(steps [][]step, last int) Route {
	r := Route{Model: m.model, Version: m.version}
	for b, i := len(m.bounds)-1, last; i != start; {
		s := steps[b][i]
		h := m.holdings[i]
		r.Hops = append(r.Hops, Hop{
			Endpoint: h.Endpoint, Address: h.Address, Incarnation: h.Incarnation,
			Layers: Range{From: m.bounds[s.from], To: m.bounds[b]},
		})
		b, i = s.from, s.before
	}
	slices.Reverse(r.Hops)
	return r
}
