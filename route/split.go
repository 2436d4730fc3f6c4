package route

import (
	"fmt"
	"math"
)

const (
	// splitRounds is the number of rounds of splitFewHops. Each fills one route.
	splitRounds = 800
	// priceStep is the relative price increase of an endpoint when one round
	// uses its full capacity.
	priceStep = 0.04
	// hopCostLayers is the cost of a hop in units of the cost of a layer. It
	// excludes routes with many short hops, which cost more than they gain.
	hopCostLayers = 1
)

// splitFewHops splits the flow into routes with few hops by multiplicative
// weights: each round fills the route that is cheapest at the current prices of
// the endpoints and raises the prices of those it used. The rounds together come
// close to the maximum flow. remaining is the unused capacity of each holding.
func (g *Graph) splitFewHops() (routes []Route, flows, remaining []float64) {
	price := make([]float64, len(g.holdings))
	used := make([]float64, len(g.holdings))
	for i := range price {
		price[i] = 1
	}
	index := map[string]int{}
	for range splitRounds {
		r, ok := g.search(searchCosts{
			run: func(i int, layers Range) (float64, bool) {
				return price[i] * float64(layers.Len()+hopCostLayers) / g.holdings[i].Capacity(), true
			},
			link: func(int, int) (float64, bool) { return 0, true },
		})
		if !ok {
			return nil, nil, capacities(g.holdings)
		}
		flow := g.fill(r, price, used)
		key := fmt.Sprint(r.Hops)
		n, seen := index[key]
		if !seen {
			n = len(routes)
			index[key] = n
			routes = append(routes, r)
			flows = append(flows, 0)
		}
		flows[n] += flow
	}
	// The rounds have filled endpoints many times over. Scale the flows down to
	// what the most overloaded endpoint can run.
	overload := 0.0
	for i, h := range g.holdings {
		overload = max(overload, used[i]/h.Capacity())
	}
	for n := range flows {
		flows[n] /= overload
	}
	remaining = capacities(g.holdings)
	for i := range remaining {
		remaining[i] = max(remaining[i]-used[i]/overload, 0)
	}
	return routes, flows, remaining
}

// fill sends as much flow over a route as its bottleneck hop can run, and
// returns that flow.
func (g *Graph) fill(r Route, price, used []float64) float64 {
	flow := math.Inf(1)
	for _, hop := range r.Hops {
		flow = min(flow, g.holdings[g.byEndpoint[hop.Endpoint]].Capacity()/float64(hop.Layers.Len()))
	}
	for _, hop := range r.Hops {
		i := g.byEndpoint[hop.Endpoint]
		work := flow * float64(hop.Layers.Len())
		used[i] += work
		price[i] *= 1 + priceStep*work/g.holdings[i].Capacity()
	}
	return flow
}
