package route_test

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushshed/route"
)

// Every route of a flow is valid, the routes together do not exceed the capacity
// of any endpoint, and they carry at least 0.98 of the maximum flow.
func TestFlowRoutesAreValidAndCarryMaxFlow(t *testing.T) {
	t.Parallel()
	routable := 0
	rapid.Check(t, func(t *rapid.T) {
		layers, holdings := drawHoldings(t)
		g := route.NewGraph("m", "v", layers, holdings)
		f := g.Flow(costs)
		if _, err := g.Plan(route.Constraints{}, costs); (err == nil) != (len(f.Routes) > 0) {
			t.Fatalf("got %d routes, want some exactly if Plan finds one: %v", len(f.Routes), err)
		}
		if len(f.Routes) == 0 {
			return
		}
		routable++
		demand := map[string]float64{}
		prev := 0.0
		for i, r := range f.Routes {
			if err := r.Check(layers); err != nil {
				t.Fatal(err)
			}
			for _, h := range r.Hops {
				demand[h.Endpoint] += (f.CumulativeFlow[i] - prev) * float64(h.Layers.Len())
			}
			prev = f.CumulativeFlow[i]
		}
		for _, h := range holdings {
			if demand[h.Endpoint] > h.Capacity()*1.0001 {
				t.Fatalf("got a demand of %f on %s, want at most %f", demand[h.Endpoint], h.Endpoint, h.Capacity())
			}
		}
		if prev < 0.98*f.Rate {
			t.Fatalf("got a flow of %f, want the maximum flow %f", prev, f.Rate)
		}
	})
	if routable == 0 {
		t.Fatal("got no graph with a route, want some")
	}
}

// MaxFlow matches the minimum cut over all sets of layers.
func TestMaxFlowMatchesMinimumCut(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		layers, holdings := drawHoldings(t)
		got := route.MaxFlow(layers, holdings)
		minimum := -1.0
		// By Hall's theorem the maximum flow is the minimum, over all sets of
		// layers, of the capacity of the holdings with any of the layers,
		// divided by the number of layers.
		for set := uint(1); set < 1<<layers; set++ {
			if c := cut(holdings, set); minimum < 0 || c < minimum {
				minimum = c
			}
		}
		if got < minimum*0.9999 || got > minimum*1.0001 {
			t.Fatalf("got a maximum flow of %f, want %f", got, minimum)
		}
	})
}

func cut(holdings []route.Holding, set uint) float64 {
	sum := 0.0
	for _, h := range holdings {
		held := uint(1)<<h.Layers.To - uint(1)<<h.Layers.From
		if held&set != 0 {
			sum += h.Capacity()
		}
	}
	return sum / float64(bits.OnesCount(set))
}

// largeFleet returns the holdings of replicas with the given number of stages.
// The design target is 1,600 replicas of 8 stages.
func largeFleet(replicas, stages int) []route.Holding {
	const layers = 80
	var holdings []route.Holding
	for r := range replicas {
		for s := range stages {
			holdings = append(holdings, route.Holding{
				Endpoint: fmt.Sprintf("e%d-%d", r, s), Model: "m", Version: "v", FailureDomain: fmt.Sprint(r % 10),
				Layers:    route.Range{From: s * layers / stages, To: (s + 1) * layers / stages},
				LayerTime: time.Duration(100+r%5*50) * time.Microsecond, Slots: 32,
			})
		}
	}
	return holdings
}

// BenchmarkDraw draws two routes and takes the faster one, as is done for each
// new request.
func BenchmarkDraw(b *testing.B) {
	for _, replicas := range []int{5, 50, 500, 1600} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			f := route.NewGraph("m", "v", 80, largeFleet(replicas, 8)).Flow(costs)
			idle := func(string) float64 { return 0 }
			b.ReportAllocs()
			for b.Loop() {
				one, two := f.Draw(rand.Float64()), f.Draw(rand.Float64())
				if two.ExpectedTokenTime(idle) < one.ExpectedTokenTime(idle) {
					one = two
				}
				if one == nil {
					b.Fatal("got no route")
				}
			}
		})
	}
}

// BenchmarkPlan plans a route for one request that must avoid an endpoint.
func BenchmarkPlan(b *testing.B) {
	for _, replicas := range []int{5, 50, 500, 1600} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			g := route.NewGraph("m", "v", 80, largeFleet(replicas, 8))
			constraints := route.Constraints{Avoid: map[string]bool{"e0-0": true}}
			for b.Loop() {
				if _, err := g.Plan(constraints, costs); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkFlow recomputes a flow, as is done when an endpoint joins or leaves.
func BenchmarkFlow(b *testing.B) {
	for _, replicas := range []int{5, 50, 500} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			g := route.NewGraph("m", "v", 80, largeFleet(replicas, 8))
			for b.Loop() {
				g.Flow(costs)
			}
		})
	}
}
