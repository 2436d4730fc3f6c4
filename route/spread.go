package route

import (
	"fmt"
	"math"
)

const (
	// rounds is the number of routes that spread fills one after another.
	rounds = 800
	// stepWeight is how much dearer an endpoint gets when a round uses it up.
	stepWeight = 0.04
	// hopLayers is the price of a hop beside that of a layer. It leaves ways
	// with many short hops out, which cost more than they bring.
	hopLayers = 1
)

// spread splits a flow into routes with few hops. Each round takes the route
// that is cheapest by the prices of its endpoints, fills it, and makes what it
// used dearer, so that the rounds together come close to the greatest flow.
// left is what the endpoints can still run besides.
func (m *Graph) spread() (routes []Route, flows, left []float64) {
	price := make([]float64, len(m.holdings))
	used := make([]float64, len(m.holdings))
	for i := range price {
		price[i] = 1
	}
	index := map[string]int{}
	for range rounds {
		r, ok := m.search(prices{
			run: func(i int, layers Range) (float64, bool) {
				return price[i] * float64(layers.Len()+hopLayers) / m.holdings[i].Capacity(), true
			},
			link: func(int, int) (float64, bool) { return 0, true },
		})
		if !ok {
			return nil, nil, ratesOf(m.holdings)
		}
		flow := m.fill(r, price, used)
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
	// The rounds have filled endpoints several times over; what fits is the
	// share that the busiest of them can run.
	over := 0.0
	for i, h := range m.holdings {
		over = max(over, used[i]/h.Capacity())
	}
	for n := range flows {
		flows[n] /= over
	}
	left = ratesOf(m.holdings)
	for i := range left {
		left[i] = max(left[i]-used[i]/over, 0)
	}
	return routes, flows, left
}

// fill sends as much over a route as its weakest hop can run.
func (m *Graph) fill(r Route, price, used []float64) float64 {
	flow := math.Inf(1)
	for _, hop := range r.Hops {
		flow = min(flow, m.holdings[m.byName[hop.Endpoint]].Capacity()/float64(hop.Layers.Len()))
	}
	for _, hop := range r.Hops {
		i := m.byName[hop.Endpoint]
		work := flow * float64(hop.Layers.Len())
		used[i] += work
		price[i] *= 1 + stepWeight*work/m.holdings[i].Capacity()
	}
	return flow
}
