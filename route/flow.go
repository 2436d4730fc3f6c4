package route

import (
	"cmp"
	"slices"
	"time"
)

// Capacity is what an endpoint can run, in layers of tokens a second, if it does
// nothing else.
func (h Holding) Capacity() float64 {
	return float64(max(h.Slots, 1)) / h.LayerTime.Seconds()
}

const (
	// boundSteps is the number of halvings in the search for the bound.
	boundSteps = 40
	// leastShare is the share of the flow below which a way is left out.
	leastShare = 1e-6
)

// share is what one endpoint runs of one layer, in tokens a second.
type share struct {
	holding int
	flow    float64
}

// allocate finds who runs how much of each layer at a flow of tokens a second;
// ok is false if the holdings can't carry it.
//
// Layers are served in order, and each first by the endpoint whose range ends
// soonest. That is optimal: of two endpoints that can run a layer, the one with
// the later end can run all that the other can from there on.
func allocate(layers int, holdings []Holding, rates []float64, flow float64) (shares [][]share, ok bool) {
	byEnd := make([]int, len(holdings))
	left := slices.Clone(rates)
	for i := range holdings {
		byEnd[i] = i
	}
	slices.SortStableFunc(byEnd, func(a, b int) int { return cmp.Compare(holdings[a].Layers.To, holdings[b].Layers.To) })
	shares = make([][]share, layers)
	for l := range layers {
		need := flow
		for _, i := range byEnd {
			h := holdings[i]
			if need <= 0 {
				break
			}
			if left[i] <= 0 || l < h.Layers.From || l >= h.Layers.To {
				continue
			}
			take := min(need, left[i])
			left[i] -= take
			need -= take
			shares[l] = append(shares[l], share{holding: i, flow: take})
		}
		if need > flow*leastShare {
			return nil, false
		}
	}
	return shares, true
}

// MaxFlow returns the greatest flow, in tokens a second, that the holdings can
// carry through all layers, whatever the links between them.
func MaxFlow(layers int, holdings []Holding) float64 {
	return boundOf(layers, holdings, ratesOf(holdings))
}

func ratesOf(holdings []Holding) []float64 {
	rates := make([]float64, 0, len(holdings))
	for _, h := range holdings {
		rates = append(rates, h.Capacity())
	}
	return rates
}

// boundOf is the bound if the holdings have only so much of their rates left.
func boundOf(layers int, holdings []Holding, rates []float64) float64 {
	high := 0.0
	for _, r := range rates {
		high += r
	}
	high /= float64(layers)
	if _, ok := allocate(layers, holdings, rates, high); ok {
		return high
	}
	low := 0.0
	for range boundSteps {
		mid := (low + high) / 2
		if _, ok := allocate(layers, holdings, rates, mid); ok {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// Flow is a set of routes with the share of requests that each is to get, so
// that together they carry the greatest flow. It is frozen once made.
type Flow struct {
	// Routes are in no order; Upto[i] is the sum of the shares up to i.
	Routes         []Route
	CumulativeFlow []float64
	// Fastest is the route of the least expected time on idle endpoints.
	Fastest *Route
	// Rate is the flow that the routes carry, in tokens a second.
	Rate float64
}

// Flow splits the greatest flow of the map into routes.
func (m *Graph) Flow(c Costs) *Flow {
	rate := MaxFlow(m.layers, m.holdings)
	f := &Flow{Rate: rate}
	if rate <= 0 {
		return f
	}
	if r, err := m.Plan(Constraints{}, c); err == nil {
		f.Fastest = &r
	}
	routes, flows := m.split(rate)
	sum := 0.0
	for n, r := range routes {
		r.TokenTime = m.tokenTime(r, Constraints{}, c)
		sum += flows[n]
		f.Routes = append(f.Routes, r)
		f.CumulativeFlow = append(f.CumulativeFlow, sum)
	}
	return f
}

// wholeFlow is the share of the bound that a split into few hops must carry to
// be preferred.
const wholeFlow = 0.98

// split divides a flow into routes, with few hops where that carries enough.
func (m *Graph) split(rate float64) (routes []Route, flows []float64) {
	rates := ratesOf(m.holdings)
	if len(m.holdings) > searchAll {
		return m.takeApart(rates, rate)
	}
	routes, flows, left := m.spread()
	moreRoutes, moreFlows := m.takeApart(left, boundOf(m.layers, m.holdings, left))
	routes = append(routes, moreRoutes...)
	flows = append(flows, moreFlows...)
	sum := 0.0
	for _, f := range flows {
		sum += f
	}
	if sum < wholeFlow*rate {
		return m.takeApart(rates, rate)
	}
	return routes, flows
}

// takeApart divides an allocation of each layer into routes, which carry all of
// it, over as many hops as that takes.
func (m *Graph) takeApart(rates []float64, rate float64) (routes []Route, flows []float64) {
	shares, ok := allocate(m.layers, m.holdings, rates, rate)
	if !ok || rate <= 0 {
		return nil, nil
	}
	for left := rate; left > rate*leastShare; {
		ways, flow := widest(shares, rate*leastShare)
		if flow <= 0 {
			break
		}
		left -= flow
		routes = append(routes, m.route(ways))
		flows = append(flows, flow)
	}
	return routes, flows
}

// widest takes one way through all layers out of the shares: it stays with an
// endpoint as long as that has a share left, and then changes to the one that
// lasts longest.
func widest(shares [][]share, least float64) (ways []int, flow float64) {
	ways = make([]int, len(shares))
	at := -1
	for l := range shares {
		if at < 0 || find(shares[l], at) <= least {
			at = lasting(shares, l, least)
		}
		if at < 0 {
			return nil, 0
		}
		ways[l] = at
		if have := find(shares[l], at); l == 0 || have < flow {
			flow = have
		}
	}
	for l, at := range ways {
		for i := range shares[l] {
			if shares[l][i].holding == at {
				shares[l][i].flow -= flow
			}
		}
	}
	return ways, flow
}

func find(shares []share, holding int) float64 {
	for _, s := range shares {
		if s.holding == holding {
			return s.flow
		}
	}
	return 0
}

// lasting returns the holding that has a share of the most layers from l on.
func lasting(shares [][]share, l int, least float64) int {
	best, longest := -1, 0
	for _, s := range shares[l] {
		if s.flow <= least {
			continue
		}
		n := l
		for n < len(shares) && find(shares[n], s.holding) > least {
			n++
		}
		if n-l > longest {
			best, longest = s.holding, n-l
		}
	}
	return best
}

// route turns the holding of each layer into hops.
func (m *Graph) route(ways []int) Route {
	r := Route{Model: m.model, Version: m.version}
	for l, i := range ways {
		h := m.holdings[i]
		if n := len(r.Hops); n > 0 && r.Hops[n-1].Endpoint == h.Endpoint {
			r.Hops[n-1].Layers.To = l + 1
			continue
		}
		r.Hops = append(r.Hops, Hop{
			Endpoint: h.Endpoint, Address: h.Address, Incarnation: h.Incarnation, Layers: Range{From: l, To: l + 1},
		})
	}
	return r
}

// TokenTime is the mean expected time of a token over all routes.
func (f *Flow) TokenTime() time.Duration {
	sum, before := 0.0, 0.0
	for i, r := range f.Routes {
		sum += (f.CumulativeFlow[i] - before) * float64(r.TokenTime)
		before = f.CumulativeFlow[i]
	}
	return time.Duration(sum / max(before, 1e-9))
}

// Concurrency is the number of requests at a time that carry the flow.
func (f *Flow) Concurrency() float64 { return f.Rate * f.TokenTime().Seconds() }

// Draw returns the route at a point u of [0, 1) of the flow's shares, or nil if
// there is none.
func (f *Flow) Draw(u float64) *Route {
	if len(f.Routes) == 0 {
		return nil
	}
	i, _ := slices.BinarySearch(f.CumulativeFlow, u*f.CumulativeFlow[len(f.CumulativeFlow)-1])
	return &f.Routes[min(i, len(f.Routes)-1)]
}

// crowding is the share of its time by which an endpoint with all slots in use
// counts as slower, so that of two the less busy one is taken.
const crowding = 0.1

// ExpectedTokenTime is the expected time of one token on a route, if load tells how many
// requests each endpoint has at a time, as a share of its slots. Up to its
// slots an endpoint runs requests together; beyond, they wait in turn.
func (r *Route) ExpectedTokenTime(load func(endpoint string) float64) time.Duration {
	sum := 0.0
	for _, h := range r.Hops {
		l := load(h.Endpoint)
		sum += float64(h.Time) * (1 + crowding*l + max(l-1, 0))
	}
	return time.Duration(sum)
}

// TimeShares returns the share of a token's time that each hop takes.
func (r *Route) TimeShares() []float64 {
	total := 0.0
	for _, h := range r.Hops {
		total += float64(h.Time)
	}
	weights := make([]float64, 0, len(r.Hops))
	for _, h := range r.Hops {
		weights = append(weights, float64(h.Time)/max(total, 1))
	}
	return weights
}
