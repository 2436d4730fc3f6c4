package route

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Costs holds the link and prefill costs that a plan uses.
type Costs struct {
	// SameDomain and CrossDomain are the times to send one token's activations
	// to an endpoint in the same or in another failure domain.
	SameDomain  time.Duration
	CrossDomain time.Duration
	// PrefillRatio is the time to prefill a token divided by the time to
	// decode one.
	PrefillRatio float64
}

// Graph is the set of endpoints that hold layers of one model version. It is
// immutable.
type Graph struct {
	model    string
	version  string
	layers   int
	holdings []Holding
	// byEndpoint maps an endpoint to the index of its holding in holdings.
	byEndpoint map[string]int
	// bounds are the layers at which a route may switch endpoints, in
	// ascending order.
	bounds []int
}

// NewGraph returns a graph of those holdings that belong to the model version
// and have a valid range of layers.
func NewGraph(model, version string, layers int, all []Holding) *Graph {
	g := &Graph{model: model, version: version, layers: layers, byEndpoint: map[string]int{}, bounds: []int{0, layers}}
	for _, h := range all {
		if h.Model != model || h.Version != version || h.Layers.Len() <= 0 || h.Layers.To > layers || h.Layers.From < 0 {
			continue
		}
		g.byEndpoint[h.Endpoint] = len(g.holdings)
		g.holdings = append(g.holdings, h)
		g.bounds = append(g.bounds, h.Layers.From, h.Layers.To)
	}
	slices.Sort(g.bounds)
	g.bounds = slices.Compact(g.bounds)
	return g
}

// Holdings returns the holdings of the graph. The caller must not modify them.
func (g *Graph) Holdings() []Holding { return g.holdings }

// Load returns the load of an endpoint as a fraction of its slots. own is the
// number of this host's requests on it, which Holding.Load does not include. The
// load of an unknown endpoint is 0.
func (g *Graph) Load(endpoint string, own float64) float64 {
	i, ok := g.byEndpoint[endpoint]
	if !ok {
		return 0
	}
	h := g.holdings[i]
	return (h.Load + own) / float64(max(h.Slots, 1))
}

// TopologyHash returns a hash of everything that the flow of the graph depends on.
func (g *Graph) TopologyHash() uint64 {
	d := xxhash.New()
	for _, h := range g.holdings {
		// Writing to a hash never fails.
		_, _ = fmt.Fprintln(d, h.Endpoint, h.Address, h.Incarnation, h.FailureDomain, h.Layers, h.LayerTime, h.Slots)
	}
	return d.Sum64()
}

// Constraints are the requirements of one request on a plan.
type Constraints struct {
	// Avoid names endpoints that must not be used.
	Avoid map[string]bool
	// OwnLoad is the number of this host's concurrent requests on an endpoint,
	// which Holding.Load does not include.
	OwnLoad map[string]float64
	// Version is the only model version that may be used; "" for any. The caller
	// selects the graph by it, as a Graph has a single version.
	Version string
	// AvoidLinks holds the links that must not be used because their endpoints
	// cannot reach each other.
	AvoidLinks map[Link]bool
	// Cached maps an endpoint to the layers for which it has the request's KV
	// cache. All other endpoints must prefill Context tokens first.
	Cached  map[string]Range
	Context int
	// RemainingTokens is the number of tokens still to generate; 0 counts as 1.
	RemainingTokens int
}

// Link is a directed connection between two endpoints.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// Plan returns the route with the least expected time to complete the request.
// It fails with KindNoRoute if no allowed route covers all layers.
//
// In a graph of more than maxFullSearch holdings it searches only the best few
// of those that hold the same layers, so that the time to plan does not grow
// with the number of replicas.
func (g *Graph) Plan(c Constraints, costs Costs) (Route, error) {
	if len(g.holdings) > maxFullSearch {
		g = g.pruneByRange(c, costs)
	}
	r, ok := g.search(searchCosts{
		run: func(i int, layers Range) (float64, bool) {
			h := g.holdings[i]
			return float64(c.time(h, layers, costs)), !c.Avoid[h.Endpoint]
		},
		link: func(i, j int) (float64, bool) {
			from, to := g.holdings[i], g.holdings[j]
			cost := costs.link(from, to) * c.tokens()
			return float64(cost), !c.AvoidLinks[Link{From: from.Endpoint, To: to.Endpoint}]
		},
	})
	if !ok {
		return Route{}, &Error{Op: "plan", Kind: KindNoRoute, Reason: fmt.Sprintf(
			"no route through %d holdings of %s %s covers layers 0-%d", len(g.holdings), g.model, g.version, g.layers)}
	}
	r.TokenTime = g.tokenTime(r, c, costs)
	return r, nil
}

const (
	// maxFullSearch is the number of holdings up to which all are searched.
	maxFullSearch = 64
	// searchPerRange is the number of holdings with the same layers that are
	// searched in a larger graph.
	searchPerRange = 3
)

// pruneByRange returns a graph with the fastest searchPerRange holdings of each range
// of layers, and all that have the request's KV cache.
func (g *Graph) pruneByRange(c Constraints, costs Costs) *Graph {
	byRange := map[Range][]Holding{}
	for _, h := range g.holdings {
		if !c.Avoid[h.Endpoint] {
			byRange[h.Layers] = append(byRange[h.Layers], h)
		}
	}
	var kept []Holding
	for layers, holdings := range byRange {
		slices.SortFunc(holdings, func(a, b Holding) int {
			return cmp.Or(cmp.Compare(c.time(a, layers, costs), c.time(b, layers, costs)), cmp.Compare(a.Endpoint, b.Endpoint))
		})
		for i, h := range holdings {
			if _, cached := c.Cached[h.Endpoint]; cached || i < searchPerRange {
				kept = append(kept, h)
			}
		}
	}
	slices.SortFunc(kept, func(a, b Holding) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return NewGraph(g.model, g.version, g.layers, kept)
}

func (c Costs) link(from, to Holding) time.Duration {
	if from.FailureDomain == to.FailureDomain {
		return c.SameDomain
	}
	return c.CrossDomain
}

// Unconstrained reports whether every route of a Flow satisfies the constraints.
func (c Constraints) Unconstrained() bool {
	return len(c.Avoid) == 0 && len(c.AvoidLinks) == 0 && len(c.Cached) == 0 && c.Version == ""
}

// tokens returns the number of tokens to generate, as a factor for durations.
func (c Constraints) tokens() time.Duration { return time.Duration(max(c.RemainingTokens, 1)) }

// time returns the expected time to run some layers on one endpoint for all
// remaining tokens, including the prefill if the endpoint has no KV cache for
// them. It takes the known load into account.
func (c Constraints) time(h Holding, layers Range, costs Costs) time.Duration {
	load := h.Load + c.OwnLoad[h.Endpoint]
	perLayer := float64(h.LayerTime) * (1 + load/float64(max(h.Slots, 1)))
	work := float64(c.tokens()) * float64(layers.Len())
	if !c.Cached[h.Endpoint].Covers(layers) {
		work += costs.PrefillRatio * float64(c.Context) * float64(layers.Len())
	}
	return time.Duration(perLayer * work)
}

// tokenTime returns the expected time of one token on a route. It also sets the
// Time of each hop.
func (g *Graph) tokenTime(r Route, c Constraints, costs Costs) time.Duration {
	c.RemainingTokens, c.Context = 1, 0
	var sum time.Duration
	var prev Holding
	for n, hop := range r.Hops {
		i := g.byEndpoint[hop.Endpoint]
		r.Hops[n].Time = time.Duration(hop.Layers.Len()) * g.holdings[i].LayerTime
		sum += c.time(g.holdings[i], hop.Layers, costs)
		if n > 0 {
			sum += costs.link(prev, g.holdings[i])
		}
		prev = g.holdings[i]
	}
	return sum
}
