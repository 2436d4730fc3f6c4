package route

import (
	"cmp"
	"slices"
	"time"
)

// Capacity returns the throughput of an otherwise idle endpoint, in
// layer-tokens per second.
func (h Holding) Capacity() float64 {
	return float64(max(h.Slots, 1)) / h.LayerTime.Seconds()
}

const (
	// bisectionSteps is the number of bisection steps in the search for the
	// maximum flow.
	bisectionSteps = 40
	// minFlowFraction is the fraction of the total flow below which a remainder
	// counts as zero and gets no route.
	minFlowFraction = 1e-6
)

// layerShare is the flow through one layer that a holding is allocated, in
// tokens per second.
type layerShare struct {
	holding int
	flow    float64
}

// allocate distributes a flow, in tokens per second, over the holdings of each
// layer; ok is false if the holdings cannot carry it. rates is the available
// capacity of each holding.
//
// It is greedy: it goes through the layers in order and uses the holding whose
// range ends first. That is optimal, because of two holdings that can run a
// layer, the one that ends later can run every later layer that the other can.
func allocate(layers int, holdings []Holding, rates []float64, flow float64) (shares [][]layerShare, ok bool) {
	byEnd := make([]int, len(holdings))
	remaining := slices.Clone(rates)
	for i := range holdings {
		byEnd[i] = i
	}
	slices.SortStableFunc(byEnd, func(a, b int) int { return cmp.Compare(holdings[a].Layers.To, holdings[b].Layers.To) })
	shares = make([][]layerShare, layers)
	for l := range layers {
		need := flow
		for _, i := range byEnd {
			h := holdings[i]
			if need <= 0 {
				break
			}
			if remaining[i] <= 0 || l < h.Layers.From || l >= h.Layers.To {
				continue
			}
			assigned := min(need, remaining[i])
			remaining[i] -= assigned
			need -= assigned
			shares[l] = append(shares[l], layerShare{holding: i, flow: assigned})
		}
		if need > flow*minFlowFraction {
			return nil, false
		}
	}
	return shares, true
}

// MaxFlow returns the maximum flow, in tokens per second, that the holdings can
// carry through all layers. It ignores the cost of links.
func MaxFlow(layers int, holdings []Holding) float64 {
	return maxFlow(layers, holdings, capacities(holdings))
}

func capacities(holdings []Holding) []float64 {
	rates := make([]float64, 0, len(holdings))
	for _, h := range holdings {
		rates = append(rates, h.Capacity())
	}
	return rates
}

// maxFlow returns the maximum flow for the given available capacity of each
// holding.
func maxFlow(layers int, holdings []Holding, rates []float64) float64 {
	high := 0.0
	for _, r := range rates {
		high += r
	}
	high /= float64(layers)
	if _, ok := allocate(layers, holdings, rates, high); ok {
		return high
	}
	low := 0.0
	for range bisectionSteps {
		mid := (low + high) / 2
		if _, ok := allocate(layers, holdings, rates, mid); ok {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// Flow is a set of routes that together carry the maximum flow, with the share
// of requests that each should get. It is immutable.
type Flow struct {
	// Routes are in no particular order. CumulativeFlow[i] is the sum of the
	// flows of Routes[:i+1], in tokens per second.
	Routes         []Route
	CumulativeFlow []float64
	// Fastest is the route that Plan returns without constraints, at the load
	// known when the flow was computed.
	Fastest *Route
	// Rate is the maximum flow of the graph, in tokens per second.
	Rate float64
}

// Flow splits the maximum flow of the graph into routes.
func (g *Graph) Flow(costs Costs) *Flow {
	rate := MaxFlow(g.layers, g.holdings)
	f := &Flow{Rate: rate}
	if rate <= 0 {
		return f
	}
	if r, err := g.Plan(Constraints{}, costs); err == nil {
		f.Fastest = &r
	}
	routes, flows := g.split(rate)
	sum := 0.0
	for n, r := range routes {
		r.TokenTime = g.tokenTime(r, Constraints{}, costs)
		sum += flows[n]
		f.Routes = append(f.Routes, r)
		f.CumulativeFlow = append(f.CumulativeFlow, sum)
	}
	return f
}

// minSplitFraction is the fraction of the maximum flow that a split into routes
// with few hops must carry to be preferred.
const minSplitFraction = 0.98

// split divides the maximum flow into routes. It prefers routes with few hops if
// they carry enough of the flow. Graphs of more than maxFullSearch holdings are
// decomposed directly.
func (g *Graph) split(rate float64) (routes []Route, flows []float64) {
	rates := capacities(g.holdings)
	if len(g.holdings) > maxFullSearch {
		return g.decompose(rates, rate)
	}
	routes, flows, remaining := g.splitFewHops()
	moreRoutes, moreFlows := g.decompose(remaining, maxFlow(g.layers, g.holdings, remaining))
	routes = append(routes, moreRoutes...)
	flows = append(flows, moreFlows...)
	sum := 0.0
	for _, f := range flows {
		sum += f
	}
	if sum < minSplitFraction*rate {
		return g.decompose(rates, rate)
	}
	return routes, flows
}

// decompose allocates a flow and decomposes the allocation into routes. They
// carry the full flow, but may have many hops.
func (g *Graph) decompose(rates []float64, rate float64) (routes []Route, flows []float64) {
	shares, ok := allocate(g.layers, g.holdings, rates, rate)
	if !ok || rate <= 0 {
		return nil, nil
	}
	for remaining := rate; remaining > rate*minFlowFraction; {
		path, flow := extractPath(shares, rate*minFlowFraction)
		if flow <= 0 {
			break
		}
		remaining -= flow
		routes = append(routes, g.route(path))
		flows = append(flows, flow)
	}
	return routes, flows
}

// extractPath subtracts one path through all layers from the shares, and returns
// the holding that runs each layer and the flow of the path. It stays on a
// holding while that has flow left, and then switches to the one that can run
// the most consecutive layers.
func extractPath(shares [][]layerShare, minFlow float64) (path []int, flow float64) {
	path = make([]int, len(shares))
	current := -1
	for l := range shares {
		if current < 0 || flowOf(shares[l], current) <= minFlow {
			current = longestRun(shares, l, minFlow)
		}
		if current < 0 {
			return nil, 0
		}
		path[l] = current
		if available := flowOf(shares[l], current); l == 0 || available < flow {
			flow = available
		}
	}
	for l, holding := range path {
		for i := range shares[l] {
			if shares[l][i].holding == holding {
				shares[l][i].flow -= flow
			}
		}
	}
	return path, flow
}

func flowOf(shares []layerShare, holding int) float64 {
	for _, s := range shares {
		if s.holding == holding {
			return s.flow
		}
	}
	return 0
}

// longestRun returns the holding with flow left in the most consecutive layers
// from l on, or -1 if there is none.
func longestRun(shares [][]layerShare, l int, minFlow float64) int {
	best, longest := -1, 0
	for _, s := range shares[l] {
		if s.flow <= minFlow {
			continue
		}
		n := l
		for n < len(shares) && flowOf(shares[n], s.holding) > minFlow {
			n++
		}
		if n-l > longest {
			best, longest = s.holding, n-l
		}
	}
	return best
}

// route converts a path, the index of the holding for each layer, to a Route.
func (g *Graph) route(path []int) Route {
	r := Route{Model: g.model, Version: g.version}
	for l, i := range path {
		h := g.holdings[i]
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

// TokenTime returns the expected time per token, averaged over all routes by
// flow.
func (f *Flow) TokenTime() time.Duration {
	sum, prev := 0.0, 0.0
	for i, r := range f.Routes {
		sum += (f.CumulativeFlow[i] - prev) * float64(r.TokenTime)
		prev = f.CumulativeFlow[i]
	}
	return time.Duration(sum / max(prev, 1e-9))
}

// Concurrency returns the number of concurrent requests at which the routes
// carry the maximum flow.
func (f *Flow) Concurrency() float64 { return f.Rate * f.TokenTime().Seconds() }

// Draw returns a route with a probability proportional to its flow, for u drawn
// uniformly from [0, 1). It returns nil if there are no routes.
func (f *Flow) Draw(u float64) *Route {
	if len(f.Routes) == 0 {
		return nil
	}
	i, _ := slices.BinarySearch(f.CumulativeFlow, u*f.CumulativeFlow[len(f.CumulativeFlow)-1])
	return &f.Routes[min(i, len(f.Routes)-1)]
}

// loadPenalty is the fraction by which the expected time on an endpoint with all
// slots in use is increased, so that the less busy of two endpoints is preferred.
const loadPenalty = 0.1

// ExpectedTokenTime returns the expected time of one token on the route. load
// returns the number of concurrent requests on an endpoint, as a fraction of its
// slots. An endpoint runs that many requests concurrently and queues the rest.
func (r *Route) ExpectedTokenTime(load func(endpoint string) float64) time.Duration {
	sum := 0.0
	for _, h := range r.Hops {
		l := load(h.Endpoint)
		sum += float64(h.Time) * (1 + loadPenalty*l + max(l-1, 0))
	}
	return time.Duration(sum)
}

// TimeShares returns the fraction of a token's time that each hop takes.
func (r *Route) TimeShares() []float64 {
	total := 0.0
	for _, h := range r.Hops {
		total += float64(h.Time)
	}
	shares := make([]float64, 0, len(r.Hops))
	for _, h := range r.Hops {
		shares = append(shares, float64(h.Time)/max(total, 1))
	}
	return shares
}
