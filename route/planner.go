package route

import (
	"fmt"
	"slices"
	"time"
)

// Costs are the weights of a plan.
type Costs struct {
	// SameDomain and CrossDomain are the times that a token takes from one
	// endpoint to the next.
	SameDomain  time.Duration
	CrossDomain time.Duration
	// Prefill is the time of a prefilled token beside that of a decoded one.
	Prefill float64
}

// Map is what is known of the endpoints that hold one model version; it is
// frozen once made.
type Map struct {
	model    string
	version  string
	layers   int
	holdings []Holding
	// bounds are the layers at which a route may change endpoints, in order.
	bounds []int
}

// NewMap keeps the holdings of one model version.
func NewMap(model, version string, layers int, all []Holding) *Map {
	m := &Map{model: model, version: version, layers: layers, bounds: []int{0, layers}}
	for _, h := range all {
		if h.Model != model || h.Version != version || h.Layers.Len() <= 0 || h.Layers.To > layers || h.Layers.From < 0 {
			continue
		}
		m.holdings = append(m.holdings, h)
		m.bounds = append(m.bounds, h.Layers.From, h.Layers.To)
	}
	slices.Sort(m.bounds)
	m.bounds = slices.Compact(m.bounds)
	return m
}

// Holdings returns the holdings of the map; they must not be changed.
func (m *Map) Holdings() []Holding { return m.holdings }

// Pick is what one request asks of a plan.
type Pick struct {
	// Avoid names endpoints that must not be used.
	Avoid map[string]bool
	// Extra is the number of own requests on an endpoint that its last
	// report cannot have counted.
	Extra map[string]int
	// AvoidLinks names pairs of endpoints that can't reach each other.
	AvoidLinks map[Link]bool
	// Cached are the layers for which endpoints hold the request's KV cache;
	// all others must prefill Context tokens first.
	Cached  map[string]Range
	Context int
	// Tokens is the number of tokens to come; 0 counts as 1.
	Tokens int
}

// Link is the way from one endpoint to the next.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// step is the cheapest known way to run all layers up to a bound with one
// holding last.
type step struct {
	cost    time.Duration
	reached bool
	// from is the bound at which the last holding began.
	from int
	// before is the holding that ran the layers before, or -1.
	before int
}

// Plan returns the route of the least expected time to the end. It fails with
// KindNone when the holdings at hand leave a layer uncovered.
//
// The search is a shortest path over (bound, last holding): layers are run in
// order, so every edge leads to a later bound and one pass over the bounds
// settles all costs.
func (m *Map) Plan(p Pick, c Costs) (Route, error) {
	steps := make([][]step, len(m.bounds))
	for b := range steps {
		steps[b] = make([]step, len(m.holdings))
	}
	for b := 1; b < len(m.bounds); b++ {
		for i, h := range m.holdings {
			if !p.Avoid[h.Endpoint] {
				m.settle(steps, b, i, p, c)
			}
		}
	}
	last := cheapest(steps[len(m.bounds)-1])
	if last < 0 {
		return Route{}, &Error{Op: "plan", Kind: KindNone, Reason: fmt.Sprintf(
			"got no way through %d holdings of %s %s, want layers 0-%d", len(m.holdings), m.model, m.version, m.layers)}
	}
	r := m.trace(steps, last)
	r.TokenTime = m.tokenTime(r, p, c)
	if err := r.Check(m.layers); err != nil {
		panic(err)
	}
	return r, nil
}

// settle finds the cheapest way to reach bound b with holding i last.
func (m *Map) settle(steps [][]step, b, i int, p Pick, c Costs) {
	h := m.holdings[i]
	if h.Layers.To < m.bounds[b] {
		return
	}
	for a := range b {
		if m.bounds[a] < h.Layers.From {
			continue
		}
		run := p.time(h, Range{From: m.bounds[a], To: m.bounds[b]}, c)
		before, cost := m.enter(steps, a, i, p, c)
		if before == unreachable {
			continue
		}
		if s := &steps[b][i]; !s.reached || cost+run < s.cost {
			*s = step{cost: cost + run, reached: true, from: a, before: before}
		}
	}
}

const (
	start       = -1
	unreachable = -2
)

// enter finds the cheapest way to hand over to holding i at bound a.
func (m *Map) enter(steps [][]step, a, i int, p Pick, c Costs) (before int, cost time.Duration) {
	if a == 0 {
		return start, 0
	}
	before = unreachable
	for j, s := range steps[a] {
		if !s.reached || j == i || p.AvoidLinks[Link{From: m.holdings[j].Endpoint, To: m.holdings[i].Endpoint}] {
			continue
		}
		n := s.cost + c.link(m.holdings[j], m.holdings[i])*p.tokens()
		if before == unreachable || n < cost {
			before = j
			cost = n
		}
	}
	return before, cost
}

func (c Costs) link(from, to Holding) time.Duration {
	if from.FailureDomain == to.FailureDomain {
		return c.SameDomain
	}
	return c.CrossDomain
}

func (p Pick) tokens() time.Duration { return time.Duration(max(p.Tokens, 1)) }

// time is the expected time of some layers on one endpoint for all tokens to
// come, with the load that is known, and for the prefill that they need first.
func (p Pick) time(h Holding, layers Range, c Costs) time.Duration {
	load := float64(h.Load + p.Extra[h.Endpoint])
	perLayer := float64(h.LayerTime) * (1 + load/float64(max(h.Slots, 1)))
	work := float64(p.tokens()) * float64(layers.Len())
	if !p.Cached[h.Endpoint].Covers(layers) {
		work += c.Prefill * float64(p.Context) * float64(layers.Len())
	}
	return time.Duration(perLayer * work)
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

// tokenTime is the expected time of one token on a route.
func (m *Map) tokenTime(r Route, p Pick, c Costs) time.Duration {
	p.Tokens, p.Context = 1, 0
	var sum time.Duration
	var before Holding
	for n, hop := range r.Hops {
		i := slices.IndexFunc(m.holdings, func(h Holding) bool { return h.Endpoint == hop.Endpoint })
		sum += p.time(m.holdings[i], hop.Layers, c)
		if n > 0 {
			sum += c.link(before, m.holdings[i])
		}
		before = m.holdings[i]
	}
	return sum
}

// trace follows the settled steps back from the last holding.
func (m *Map) trace(steps [][]step, last int) Route {
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
