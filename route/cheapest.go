package route

import (
	"cmp"
	"fmt"
	"slices"
)

// CostModel is what an endpoint asks for running layers.
type CostModel struct {
	// PerLayer is the price of one layer on an idle endpoint, and Fixed that of
	// passing through the endpoint at all.
	PerLayer float64
	PerHop   float64
	// Utilization is the share of the endpoint that is taken, and More what each layer
	// adds to it; beyond Limit the endpoint takes nothing.
	Utilization         float64
	UtilizationPerLayer float64
	MaxUtilization      float64
	// Congestion is how much dearer layers are on an endpoint that is full.
	Congestion float64
	// PreferredLayers is a range that costs KeptShare of its price; empty for none.
	PreferredLayers Range
	PreferredFactor float64
}

// Cost returns the price of a range of layers; ok is false if they don't fit.
func (o *CostModel) Cost(r Range) (price float64, ok bool) {
	used := o.Utilization + o.UtilizationPerLayer*float64(r.Len())
	if used > o.MaxUtilization {
		return 0, false
	}
	price = o.PerLayer*float64(r.Len())*(1+o.Congestion*used*used*used*used) + o.PerHop
	if r == o.PreferredLayers {
		price *= o.PreferredFactor
	}
	return price, true
}

// Query asks for a route.
type Query struct {
	// CostModel returns what a holding asks for; ok is false for one that must not
	// be used.
	CostModel func(h *Holding) (o CostModel, ok bool)
	// CanStart reports whether a route may begin at a holding; nil for any.
	CanStart func(h *Holding) bool
	// CrossDomainCost is the price of the way to another failure domain.
	CrossDomainCost float64
	// FirstHop is the hop that the route begins with, at no price; nil for any.
	FirstHop *Hop
}

// Cheapest returns the route of the least price that visits no endpoint twice. It
// fails with KindNone when no route fits.
func (m *Graph) Cheapest(q Query) (r Route, price float64, err error) {
	if r, price, ok := newDomainSearch(m, q).simple(maxRevisits); ok {
		return r, price, nil
	}
	return Route{}, 0, &Error{Op: "cheapest", Kind: KindNoRoute, Reason: fmt.Sprintf(
		"got no way through %d holdings of %s %s, want layers 0-%d", len(m.holdings), m.model, m.version, m.layers)}
}

const (
	// maxRevisits bounds how many endpoints are kept from being visited twice,
	// one after the other, and maxSearches how many searches that takes.
	maxRevisits = 3
	maxSearches = 9
)

// simple returns the cheapest route that visits no endpoint twice, as far as it can be
// found by letting an endpoint that would be run one of its ranges only, or all that
// lies between them.
func (s *domainSearch) simple(revisits int) (r Route, price float64, ok bool) {
	if s.searches == maxSearches {
		return Route{}, 0, false
	}
	s.searches++
	s.run()
	last := s.cheapest(len(s.m.bounds) - 1)
	if last == none {
		return Route{}, 0, false
	}
	r, price = s.trace(last), s.arrivals[last].cost
	endpoint, ranges := r.revisit()
	if endpoint == "" {
		if err := r.Check(s.m.layers); err != nil {
			panic(err)
		}
		return r, price, true
	}
	if revisits == 0 {
		return Route{}, 0, false
	}
	for _, one := range ranges {
		s.only[endpoint] = one
		if other, cost, found := s.simple(revisits - 1); found && (!ok || cost < price) {
			r, price, ok = other, cost, true
		}
	}
	delete(s.only, endpoint)
	return r, price, ok
}

// revisit returns an endpoint that the route visits twice, with its first range, its
// last one, and all from the first to the last; "" if there is none.
func (r Route) revisit() (endpoint string, ranges []Range) {
	for i, h := range r.Hops {
		for _, last := range slices.Backward(r.Hops[i+1:]) {
			if last.Endpoint == h.Endpoint {
				return h.Endpoint, []Range{{From: h.Layers.From, To: last.Layers.To}, h.Layers, last.Layers}
			}
		}
	}
	return "", nil
}

// Narrow returns the map with those holdings only that are among the cheapest few of
// some layer that they hold, if they can be run whole.
func (m *Graph) Narrow(q Query, few int) *Graph {
	type offered struct {
		holding int
		price   float64
	}
	var all []offered
	for i := range m.holdings {
		h := &m.holdings[i]
		o, ok := q.CostModel(h)
		if price, fits := o.Cost(h.Layers); ok && fits {
			all = append(all, offered{holding: i, price: price / float64(h.Layers.Len())})
		}
	}
	slices.SortFunc(all, func(a, b offered) int { return cmp.Compare(a.price, b.price) })
	times := make([]int, m.layers)
	var kept []Holding
	for _, o := range all {
		h := m.holdings[o.holding]
		held := times[h.Layers.From:h.Layers.To]
		if slices.Min(held) >= few {
			continue
		}
		for l := range held {
			held[l]++
		}
		kept = append(kept, h)
	}
	return NewGraph(m.model, m.version, m.layers, kept)
}

// Len returns the number of holdings.
func (m *Graph) Len() int { return len(m.holdings) }

// none is no arrival.
const none = -1

// arrival is one way to have run all layers up to a bound.
type arrival struct {
	cost    float64
	holding int
	// from is the bound at which the last holding began, and before the
	// arrival there; none at the start.
	from   int
	before int
}

// domainSearch looks for the cheapest route. It is a shortest path over bounds: layers
// are run in order, so that one pass over the bounds settles all costs. The price of a
// link depends on the failure domains alone, so that the two cheapest arrivals by
// unlike holdings are enough for each bound and domain: a holding never follows
// itself. Where links have prices of their own, as in Plan, Map.search looks at all
// pairs.
type domainSearch struct {
	m      *Graph
	q      Query
	offers []CostModel
	usable []bool
	// domain numbers the failure domain of each holding.
	domain  []int
	domains int
	// first and last are the numbers of the bounds where each holding begins
	// and ends.
	first []int
	last  []int
	// arrivals are all that were found; best are the two cheapest of each
	// bound and domain.
	arrivals []arrival
	best     [][2]int
	// only holds the one range that endpoints which were visited twice may
	// still run.
	only map[string]Range
	// searches counts the searches.
	searches int
}

func newDomainSearch(m *Graph, q Query) *domainSearch {
	n := len(m.holdings)
	s := &domainSearch{
		m: m, q: q, offers: make([]CostModel, n), usable: make([]bool, n), domain: make([]int, n), first: make([]int, n),
		last: make([]int, n), only: map[string]Range{},
	}
	numbers := map[string]int{}
	for i := range m.holdings {
		h := &m.holdings[i]
		s.offers[i], s.usable[i] = q.CostModel(h)
		d, ok := numbers[h.FailureDomain]
		if !ok {
			d = len(numbers)
			numbers[h.FailureDomain] = d
		}
		s.domain[i] = d
		s.first[i], _ = slices.BinarySearch(m.bounds, h.Layers.From)
		s.last[i], _ = slices.BinarySearch(m.bounds, h.Layers.To)
	}
	s.domains = len(numbers)
	s.best = make([][2]int, len(m.bounds)*s.domains)
	return s
}

func (s *domainSearch) run() {
	s.arrivals = s.arrivals[:0]
	for i := range s.best {
		s.best[i] = [2]int{none, none}
	}
	start := 0
	if s.q.FirstHop != nil {
		start = s.begin()
	}
	for a := start; a < len(s.m.bounds)-1; a++ {
		for i := range s.offers {
			if s.usable[i] && s.first[i] <= a && a < s.last[i] {
				s.extend(a, i)
			}
		}
	}
}

// begin takes the hop that the route is to begin with, and returns its bound; the
// last bound if it holds its layers no more.
func (s *domainSearch) begin() int {
	i, ok := s.m.byName[s.q.FirstHop.Endpoint]
	b, found := slices.BinarySearch(s.m.bounds, s.q.FirstHop.Layers.To)
	if !ok || !found || !s.m.holdings[i].Layers.Covers(s.q.FirstHop.Layers) {
		return len(s.m.bounds) - 1
	}
	s.arrive(b, arrival{holding: i, before: none})
	s.usable[i] = false
	return b
}

// extend runs layers from bound a on with holding i.
func (s *domainSearch) extend(a, i int) {
	h := &s.m.holdings[i]
	before, cost := s.enter(a, i)
	if before == none && a > 0 || a == 0 && s.q.CanStart != nil && !s.q.CanStart(h) {
		return
	}
	one, bound := s.only[h.Endpoint]
	for b := a + 1; b <= s.last[i]; b++ {
		layers := Range{From: s.m.bounds[a], To: s.m.bounds[b]}
		if bound && layers != one {
			continue
		}
		price, ok := s.offers[i].Cost(layers)
		if !ok {
			return
		}
		s.arrive(b, arrival{cost: cost + price, holding: i, from: a, before: before})
	}
}

// enter returns the cheapest arrival at bound a from which holding i may go on.
func (s *domainSearch) enter(a, i int) (before int, cost float64) {
	if a == 0 {
		return none, 0
	}
	before = none
	for d := range s.domains {
		link := 0.0
		if d != s.domain[i] {
			link = s.q.CrossDomainCost
		}
		for _, n := range s.best[a*s.domains+d] {
			if n == none || s.arrivals[n].holding == i {
				continue
			}
			if c := s.arrivals[n].cost + link; before == none || c < cost {
				before, cost = n, c
			}
			break
		}
	}
	return before, cost
}

// arrive takes a way to reach a bound, if it is one of the two cheapest.
func (s *domainSearch) arrive(b int, a arrival) {
	best := &s.best[b*s.domains+s.domain[a.holding]]
	switch {
	case best[0] == none || s.arrivals[best[0]].holding == a.holding:
		if best[0] != none && s.arrivals[best[0]].cost <= a.cost {
			return
		}
		best[0] = len(s.arrivals)
	case a.cost < s.arrivals[best[0]].cost:
		best[1] = best[0]
		best[0] = len(s.arrivals)
	case best[1] == none || a.cost < s.arrivals[best[1]].cost:
		best[1] = len(s.arrivals)
	default:
		return
	}
	s.arrivals = append(s.arrivals, a)
}

func (s *domainSearch) cheapest(b int) int {
	least := none
	for d := range s.domains {
		if n := s.best[b*s.domains+d][0]; n != none && (least == none || s.arrivals[n].cost < s.arrivals[least].cost) {
			least = n
		}
	}
	return least
}

// trace follows the arrivals back from the last one.
func (s *domainSearch) trace(last int) Route {
	r := Route{Model: s.m.model, Version: s.m.version}
	b := s.m.layers
	for n := last; n != none; n = s.arrivals[n].before {
		a := s.arrivals[n]
		h := &s.m.holdings[a.holding]
		from := s.m.bounds[a.from]
		r.Hops = append(r.Hops, Hop{
			Endpoint: h.Endpoint, Address: h.Address, Incarnation: h.Incarnation, Layers: Range{From: from, To: b},
		})
		b = from
	}
	slices.Reverse(r.Hops)
	return r
}
