package route_test

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"bulrushshed/route"
)

// drawCostModels draws holdings of a model and a cost model for each.
func drawCostModels(t *rapid.T, layers, maxHoldings int) ([]route.Holding, map[string]route.CostModel) {
	var all []route.Holding
	costModels := map[string]route.CostModel{}
	for i := range rapid.IntRange(1, maxHoldings).Draw(t, "holdings") {
		from := rapid.IntRange(0, layers-1).Draw(t, "from")
		h := route.Holding{
			Endpoint: fmt.Sprint("e", i), Address: fmt.Sprint("e", i), FailureDomain: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"),
			Model: "m", Version: "1", Layers: route.Range{From: from, To: rapid.IntRange(from+1, layers).Draw(t, "to")},
		}
		all = append(all, h)
		costModels[h.Endpoint] = route.CostModel{
			PerLayer: rapid.Float64Range(0.1, 10).Draw(t, "layer"), PerHop: rapid.Float64Range(0, 3).Draw(t, "fixed"),
			Utilization: rapid.Float64Range(0, 1).Draw(t, "used"), UtilizationPerLayer: rapid.Float64Range(0, 0.2).Draw(t, "more"), MaxUtilization: 1, Congestion: 8,
			PreferredLayers: route.Range{From: from, To: from + 1}, PreferredFactor: 0.1,
		}
	}
	return all, costModels
}

func TestCost(t *testing.T) {
	t.Parallel()
	costModel := route.CostModel{PerLayer: 2, PerHop: 1, Utilization: 0.5, UtilizationPerLayer: 0.1, MaxUtilization: 0.8, Congestion: 16, PreferredLayers: route.Range{From: 4, To: 6}, PreferredFactor: 0.5}
	for _, c := range []struct {
		from, to int
		cost     float64
		fits     bool
	}{
		{0, 2, 2*2*(1+16*0.7*0.7*0.7*0.7) + 1, true},
		{4, 6, (2*2*(1+16*0.7*0.7*0.7*0.7) + 1) / 2, true},
		{4, 7, 2*3*(1+16*0.8*0.8*0.8*0.8) + 1, true},
		{0, 4, 0, false},
	} {
		cost, fits := costModel.Cost(route.Range{From: c.from, To: c.to})
		if fits != c.fits || math.Abs(cost-c.cost) > 1e-9 {
			t.Errorf("%d to %d: got %f and %v, want %f and %v", c.from, c.to, cost, fits, c.cost, c.fits)
		}
	}
}

// searchResult is a route found by exhaustiveSearch, and its cost.
type searchResult struct {
	cost float64
	hops []route.Hop
}

// exhaustiveSearch returns the cheapest route that runs all layers from the
// given one on and in which no holding follows itself.
func exhaustiveSearch(all []route.Holding, costModels map[string]route.CostModel, link float64, layers, from int, last *route.Holding) searchResult {
	if from == layers {
		return searchResult{}
	}
	best := searchResult{cost: math.Inf(1)}
	for i := range all {
		h := &all[i]
		if last != nil && h.Endpoint == last.Endpoint || h.Layers.From > from {
			continue
		}
		for to := from + 1; to <= h.Layers.To; to++ {
			costModel := costModels[h.Endpoint]
			r := route.Range{From: from, To: to}
			cost, ok := costModel.Cost(r)
			if !ok {
				break
			}
			if last != nil && last.FailureDomain != h.FailureDomain {
				cost += link
			}
			rest := exhaustiveSearch(all, costModels, link, layers, to, h)
			if cost+rest.cost < best.cost {
				best = searchResult{cost: cost + rest.cost, hops: append([]route.Hop{{Endpoint: h.Endpoint, Layers: r}}, rest.hops...)}
			}
		}
	}
	return best
}

func (r searchResult) visitsTwice() bool {
	seen := map[string]bool{}
	for _, h := range r.hops {
		if seen[h.Endpoint] {
			return true
		}
		seen[h.Endpoint] = true
	}
	return false
}

// Cheapest finds a route as cheap as the exhaustive search does, if that visits
// no endpoint twice. If it does, Cheapest must not find a cheaper one.
func TestCheapestMatchesExhaustiveSearch(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const layers = 5
		all, costModels := drawCostModels(t, layers, 5)
		link := rapid.Float64Range(0, 20).Draw(t, "link")
		// Add a holding for each layer, so that both searches can switch
		// endpoints at every layer.
		for l := range layers {
			all = append(all, route.Holding{
				Endpoint: fmt.Sprint("bound", l), FailureDomain: "a", Model: "m", Version: "1", Layers: route.Range{From: l, To: l + 1},
			})
			costModels[fmt.Sprint("bound", l)] = route.CostModel{PerLayer: 1000, MaxUtilization: 1}
		}
		want := exhaustiveSearch(all, costModels, link, layers, 0, nil)
		r, cost, err := route.NewGraph("m", "1", layers, all).Cheapest(route.Query{
			CrossDomainCost: link, CostModel: func(h *route.Holding) (route.CostModel, bool) { return costModels[h.Endpoint], true },
		})
		if want.visitsTwice() {
			if err == nil && cost < want.cost-1e-9 {
				t.Fatalf("got a route for %f, want none below %f", cost, want.cost)
			}
			return
		}
		if err != nil || math.Abs(cost-want.cost) > 1e-9 {
			t.Fatalf("got %v for %f (%v), want %v for %f", r.Hops, cost, err, want.hops, want.cost)
		}
	})
}

// A route with a fixed first hop starts with it and does not visit that endpoint
// again.
func TestCheapestStartsWithFirstHop(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const layers = 6
		all, costModels := drawCostModels(t, layers, 8)
		firstHop := route.Hop{Endpoint: "begin", Layers: route.Range{To: 2}}
		all = append(all, route.Holding{
			Endpoint: "begin", FailureDomain: "a", Model: "m", Version: "1", Layers: route.Range{To: rapid.IntRange(2, layers).Draw(t, "held")},
		}, route.Holding{Endpoint: "bound", FailureDomain: "a", Model: "m", Version: "1", Layers: route.Range{From: 2, To: layers}})
		costModels["begin"] = route.CostModel{PerLayer: 0.01, MaxUtilization: 1}
		costModels["bound"] = route.CostModel{PerLayer: 100, MaxUtilization: 1}
		r, _, err := route.NewGraph("m", "1", layers, all).Cheapest(route.Query{
			FirstHop: &firstHop, CostModel: func(h *route.Holding) (route.CostModel, bool) { return costModels[h.Endpoint], true },
		})
		if err != nil {
			t.Fatal(err)
		}
		if r.Hops[0].Endpoint != "begin" || r.Hops[0].Layers != firstHop.Layers || r.Check(layers) != nil {
			t.Fatalf("got %v, want a complete route that starts with %v", r.Hops, firstHop)
		}
		for _, h := range r.Hops[1:] {
			if h.Endpoint == "begin" {
				t.Fatalf("got %v, want the first endpoint only once", r.Hops)
			}
		}
	})
}

// PruneByLayer leaves out holdings that have no capacity left, even if they are
// cheap.
func TestPruneByLayerDropsFullHoldings(t *testing.T) {
	t.Parallel()
	var all []route.Holding
	for i := range 6 {
		all = append(all, route.Holding{Endpoint: fmt.Sprint("e", i), FailureDomain: "a", Model: "m", Version: "1", Layers: route.Range{To: 4}})
	}
	full := func(h *route.Holding) bool { return h.Endpoint < "e3" }
	q := route.Query{CostModel: func(h *route.Holding) (route.CostModel, bool) {
		costModel := route.CostModel{PerLayer: 1, Utilization: 0.5, UtilizationPerLayer: 0.01, MaxUtilization: 1}
		if full(h) {
			costModel.Utilization = 1
		}
		return costModel, true
	}}
	pruned := route.NewGraph("m", "1", 4, all).PruneByLayer(q, 2)
	if pruned.Len() != 2 {
		t.Fatalf("got %d holdings, want 2", pruned.Len())
	}
	for _, h := range pruned.Holdings() {
		if full(&h) {
			t.Errorf("got the full holding %s", h.Endpoint)
		}
	}
}

// A graph that is pruned to a few holdings per layer still has a route, whose cost
// is at most a quarter higher.
func TestPruneByLayerKeepsNearOptimalRoute(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const layers, perLayer = 16, 4
		var all []route.Holding
		costModels := map[string]route.CostModel{}
		for i := range 120 {
			n := []int{2, 3, 6}[i%3]
			from := rapid.IntRange(0, layers-n).Draw(t, "from")
			if i < layers {
				n, from = 1, i
			}
			h := route.Holding{
				Endpoint: fmt.Sprint("e", i), FailureDomain: "a", Model: "m", Version: "1", Layers: route.Range{From: from, To: from + n},
			}
			all = append(all, h)
			costModels[h.Endpoint] = route.CostModel{
				PerLayer: rapid.SampledFrom([]float64{3, 15, 16}).Draw(t, "kind"), PerHop: 1, Utilization: rapid.Float64Range(0, 1).Draw(t, "used"),
				UtilizationPerLayer: 0.01, MaxUtilization: 1.8, Congestion: 8,
			}
		}
		q := route.Query{CostModel: func(h *route.Holding) (route.CostModel, bool) { return costModels[h.Endpoint], true }}
		g := route.NewGraph("m", "1", layers, all)
		_, want, err := g.Cheapest(q)
		if err != nil {
			t.Fatal(err)
		}
		pruned := g.PruneByLayer(q, perLayer)
		_, got, err := pruned.Cheapest(q)
		if err != nil || got > 1.25*want {
			t.Fatalf("got %f (%v) with %d of %d holdings, want at most a quarter more than %f", got, err, pruned.Len(), g.Len(), want)
		}
		if pruned.Len() > perLayer*layers {
			t.Fatalf("got %d holdings, want at most %d", pruned.Len(), perLayer*layers)
		}
	})
}
