package route_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bulrushshed/route"
)

var costs = route.Costs{SameDomain: 100 * time.Microsecond, CrossDomain: time.Millisecond}

// drawHoldings draws holdings that need not cover all layers.
func drawHoldings(t *rapid.T) (layers int, holdings []route.Holding) {
	layers = rapid.IntRange(1, 12).Draw(t, "layers")
	for i := range rapid.IntRange(0, 6).Draw(t, "holdings") {
		from := rapid.IntRange(0, layers-1).Draw(t, "from")
		holdings = append(holdings, route.Holding{
			Endpoint: fmt.Sprintf("e%d", i), Model: "m", Version: "v", Incarnation: 1,
			FailureDomain: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"),
			Layers:        route.Range{From: from, To: rapid.IntRange(from+1, layers).Draw(t, "to")},
			LayerTime:     time.Duration(rapid.IntRange(1, 9).Draw(t, "time")) * 100 * time.Microsecond,
			Slots:         1, Load: float64(rapid.IntRange(0, 3).Draw(t, "load")),
		})
	}
	return layers, holdings
}

// enumerate is the reference implementation: it tries every holding for each
// layer and returns the lowest cost of a route, or -1 if there is none.
func enumerate(layers int, holdings []route.Holding, at, last int) time.Duration {
	if at == layers {
		return 0
	}
	best := time.Duration(-1)
	for i, h := range holdings {
		if !h.Layers.Covers(route.Range{From: at, To: at + 1}) {
			continue
		}
		rest := enumerate(layers, holdings, at+1, i)
		if rest < 0 {
			continue
		}
		cost := rest + time.Duration(float64(h.LayerTime)*(1+h.Load))
		if last >= 0 && last != i {
			cost += link(holdings[last], h)
		}
		if best < 0 || cost < best {
			best = cost
		}
	}
	return best
}

func link(a, b route.Holding) time.Duration {
	if a.FailureDomain == b.FailureDomain {
		return costs.SameDomain
	}
	return costs.CrossDomain
}

// routeCost returns the cost of a route as enumerate computes it.
func routeCost(r route.Route, holdings []route.Holding) time.Duration {
	byEndpoint := map[string]route.Holding{}
	for _, h := range holdings {
		byEndpoint[h.Endpoint] = h
	}
	var sum time.Duration
	for i, hop := range r.Hops {
		h := byEndpoint[hop.Endpoint]
		sum += time.Duration(float64(h.LayerTime)*(1+h.Load)) * time.Duration(hop.Layers.Len())
		if i > 0 {
			sum += link(byEndpoint[r.Hops[i-1].Endpoint], h)
		}
	}
	return sum
}

func TestPlanMatchesEnumeration(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		layers, holdings := drawHoldings(t)
		best := enumerate(layers, holdings, 0, -1)
		r, err := route.NewGraph("m", "v", layers, holdings).Plan(route.Constraints{}, costs)
		if best < 0 {
			var e *route.Error
			if !errors.As(err, &e) || e.Kind != route.KindNoRoute {
				t.Fatalf("got %v, want KindNoRoute", err)
			}
			return
		}
		if err != nil {
			t.Fatalf("got %v, want a route", err)
		}
		if err := r.Check(layers); err != nil {
			t.Fatal(err)
		}
		if got := routeCost(r, holdings); got != best {
			t.Fatalf("got a route of %s, want %s", got, best)
		}
	})
}

func TestCheckRejectsGapsAndOverlaps(t *testing.T) {
	t.Parallel()
	hop := func(from, to int) route.Hop { return route.Hop{Layers: route.Range{From: from, To: to}} }
	for _, c := range []struct {
		name string
		hops []route.Hop
		want string
	}{
		{"whole", []route.Hop{hop(0, 4), hop(4, 8)}, ""},
		{"nothing", nil, "route check: invalid: route ends at layer 0, want 8"},
		{"gap", []route.Hop{hop(0, 4), hop(5, 8)}, "route check: invalid: hop 1 has layers 5-8, want a non-empty range from 4"},
		{"overlap", []route.Hop{hop(0, 4), hop(3, 8)}, "route check: invalid: hop 1 has layers 3-8, want a non-empty range from 4"},
		{"empty hop", []route.Hop{hop(0, 8), hop(8, 8)}, "route check: invalid: hop 1 has layers 8-8, want a non-empty range from 8"},
		{"short", []route.Hop{hop(0, 4), hop(4, 7)}, "route check: invalid: route ends at layer 7, want 8"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			got := ""
			if err := (route.Route{Hops: c.hops}).Check(8); err != nil {
				got = err.Error()
			}
			is.Equal(got, c.want)
		})
	}
}
