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

// Every route of a flow is valid, and what the routes ask of each endpoint is
// no more than it can run; together they carry the bound.
func TestFlowIsValidAndCarriesTheBound(t *testing.T) {
	t.Parallel()
	covered := 0
	rapid.Check(t, func(t *rapid.T) {
		layers, holdings := draw(t)
		m := route.NewGraph("m", "v", layers, holdings)
		f := m.Flow(costs)
		if _, err := m.Plan(route.Constraints{}, costs); (err == nil) != (len(f.Routes) > 0) {
			t.Fatalf("got %d routes, want some exactly if there is a way: %v", len(f.Routes), err)
		}
		if len(f.Routes) == 0 {
			return
		}
		covered++
		asked := map[string]float64{}
		before := 0.0
		for i, r := range f.Routes {
			if err := r.Check(layers); err != nil {
				t.Fatal(err)
			}
			for _, h := range r.Hops {
				asked[h.Endpoint] += (f.CumulativeFlow[i] - before) * float64(h.Layers.Len())
			}
			before = f.CumulativeFlow[i]
		}
		for _, h := range holdings {
			if asked[h.Endpoint] > h.Capacity()*1.0001 {
				t.Fatalf("got %f asked of %s, want at most %f", asked[h.Endpoint], h.Endpoint, h.Capacity())
			}
		}
		if before < 0.98*f.Rate {
			t.Fatalf("got a flow of %f, want the bound %f", before, f.Rate)
		}
	})
	if covered == 0 {
		t.Fatal("got no graph with a way through, want some")
	}
}

// No set of routes carries more than the bound: the layers are cut in every
// way, and each cut's endpoints can run only so much.
func TestBoundAgainstCuts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		layers, holdings := draw(t)
		bound := route.MaxFlow(layers, holdings)
		least := -1.0
		// By Hall's theorem the bound is the least, over all sets of layers,
		// of what can run some of them divided by their number.
		for set := uint(1); set < 1<<layers; set++ {
			if c := cut(holdings, set); least < 0 || c < least {
				least = c
			}
		}
		if bound < least*0.9999 || bound > least*1.0001 {
			t.Fatalf("got bound %f, want %f", bound, least)
		}
	})
}

func cut(holdings []route.Holding, set uint) float64 {
	sum := 0.0
	for _, h := range holdings {
		own := uint(1)<<h.Layers.To - uint(1)<<h.Layers.From
		if own&set != 0 {
			sum += h.Capacity()
		}
	}
	return sum / float64(bits.OnesCount(set))
}

// large is the size to design for: 1,600 replicas of 8 stages.
func large(replicas, stages int) []route.Holding {
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

// BenchmarkDraw draws the better of two routes, as for each new request.
func BenchmarkDraw(b *testing.B) {
	for _, replicas := range []int{5, 50, 500, 1600} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			f := route.NewGraph("m", "v", 80, large(replicas, 8)).Flow(costs)
			work := func(string) float64 { return 0 }
			b.ReportAllocs()
			for b.Loop() {
				one, two := f.Draw(rand.Float64()), f.Draw(rand.Float64())
				if two.ExpectedTokenTime(work) < one.ExpectedTokenTime(work) {
					one = two
				}
				if one == nil {
					b.Fatal("got no route")
				}
			}
		})
	}
}

// BenchmarkPlan searches a route for one request that must avoid an endpoint.
func BenchmarkPlan(b *testing.B) {
	for _, replicas := range []int{5, 50, 500, 1600} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			m := route.NewGraph("m", "v", 80, large(replicas, 8))
			pick := route.Constraints{Avoid: map[string]bool{"e0-0": true}}
			for b.Loop() {
				if _, err := m.Plan(pick, costs); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkFlow splits a flow anew, as when an endpoint comes or goes.
func BenchmarkFlow(b *testing.B) {
	for _, replicas := range []int{5, 50, 500} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			m := route.NewGraph("m", "v", 80, large(replicas, 8))
			for b.Loop() {
				m.Flow(costs)
			}
		})
	}
}
