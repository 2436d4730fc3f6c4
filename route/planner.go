package route

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Costs are the weights of a plan.
type Costs struct {
	// SameDomain and CrossDomain are the times that a token takes from one
	// endpoint to the next.
	SameDomain  time.Duration
	CrossDomain time.Duration
	// PrefillRatio is the time of a prefilled token beside that of a decoded one.
	PrefillRatio float64
}

// Graph is what is known of the endpoints that hold one model version; it is
// frozen once made.
type Graph struct {
	model    string
	version  string
	layers   int
	holdings []Holding
	// byName finds a holding by its endpoint.
	byName map[string]int
	// bounds are the layers at which a route may change endpoints, in order.
	bounds []int
}

// NewGraph keeps the holdings of one model version.
func NewGraph(model, version string, layers int, all []Holding) *Graph {
	m := &Graph{model: model, version: version, layers: layers, byName: map[string]int{}, bounds: []int{0, layers}}
	for _, h := range all {
		if h.Model != model || h.Version != version || h.Layers.Len() <= 0 || h.Layers.To > layers || h.Layers.From < 0 {
			continue
		}
		m.byName[h.Endpoint] = len(m.holdings)
		m.holdings = append(m.holdings, h)
		m.bounds = append(m.bounds, h.Layers.From, h.Layers.To)
	}
	slices.Sort(m.bounds)
	m.bounds = slices.Compact(m.bounds)
	return m
}

// Holdings returns what the endpoints hold; it is not to be changed.
func (m *Graph) Holdings() []Holding { return m.holdings }

// Load returns how busy an endpoint is, as a share of its slots, if this host
// has some requests of its own on it.
func (m *Graph) Load(endpoint string, own float64) float64 {
	i, ok := m.byName[endpoint]
	if !ok {
		return 0
	}
	h := m.holdings[i]
	return (h.Load + own) / float64(max(h.Slots, 1))
}

// TopologyHash sums up all that the flow of the map depends on.
func (m *Graph) TopologyHash() uint64 {
	d := xxhash.New()
	for _, h := range m.holdings {
		// A hash never fails to write.
		_, _ = fmt.Fprintln(d, h.Endpoint, h.Address, h.Incarnation, h.FailureDomain, h.Layers, h.LayerTime, h.Slots)
	}
	return d.Sum64()
}

// Constraints is what one request asks of a plan.
type Constraints struct {
	// Avoid names endpoints that must not be used.
	Avoid map[string]bool
	// OwnLoad is the number of own requests on an endpoint at a time, which
	// its load leaves out.
	OwnLoad map[string]float64
	// Version is the only model version that may be used; "" for any.
	Version string
	// AvoidLinks names pairs of endpoints that can't reach each other.
	AvoidLinks map[Link]bool
	// Cached are the layers for which endpoints hold the request's KV cache;
	// all others must prefill Context tokens first.
	Cached  map[string]Range
	Context int
	// RemainingTokens is the number of tokens to come; 0 counts as 1.
	RemainingTokens int
}

// Link is the way from one endpoint to the next.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// Plan returns the route of the least expected time to the end. It fails with
// KindNone when the holdings at hand leave a layer uncovered.
//
// Of many endpoints that hold the same layers only the best few are searched,
// so that the time does not grow with the fleet.
func (m *Graph) Plan(p Constraints, c Costs) (Route, error) {
	if len(m.holdings) > searchAll {
		m = m.narrow(p, c)
	}
	r, ok := m.search(prices{
		run: func(i int, layers Range) (float64, bool) {
			h := m.holdings[i]
			return float64(p.time(h, layers, c)), !p.Avoid[h.Endpoint]
		},
		link: func(i, j int) (float64, bool) {
			from, to := m.holdings[i], m.holdings[j]
			cost := c.link(from, to) * p.tokens()
			return float64(cost), !p.AvoidLinks[Link{From: from.Endpoint, To: to.Endpoint}]
		},
	})
	if !ok {
		return Route{}, &Error{Op: "plan", Kind: KindNoRoute, Reason: fmt.Sprintf(
			"got no way through %d holdings of %s %s, want layers 0-%d", len(m.holdings), m.model, m.version, m.layers)}
	}
	r.TokenTime = m.tokenTime(r, p, c)
	return r, nil
}

const (
	// searchAll is the number of holdings up to which all are searched.
	searchAll = 64
	// searchEach is how many of those with the same layers are, beyond it.
	searchEach = 3
)

// narrow keeps the fastest few of the holdings of each range of layers, and all
// that hold the request's KV cache.
func (m *Graph) narrow(p Constraints, c Costs) *Graph {
	byRange := map[Range][]Holding{}
	for _, h := range m.holdings {
		if !p.Avoid[h.Endpoint] {
			byRange[h.Layers] = append(byRange[h.Layers], h)
		}
	}
	var kept []Holding
	for layers, all := range byRange {
		slices.SortFunc(all, func(a, b Holding) int {
			return cmp.Or(cmp.Compare(p.time(a, layers, c), p.time(b, layers, c)), cmp.Compare(a.Endpoint, b.Endpoint))
		})
		for i, h := range all {
			if _, cached := p.Cached[h.Endpoint]; cached || i < searchEach {
				kept = append(kept, h)
			}
		}
	}
	slices.SortFunc(kept, func(a, b Holding) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return NewGraph(m.model, m.version, m.layers, kept)
}

func (c Costs) link(from, to Holding) time.Duration {
	if from.FailureDomain == to.FailureDomain {
		return c.SameDomain
	}
	return c.CrossDomain
}

// Unconstrained reports whether a pick asks for nothing in particular, so that any
// route of the flow will do.
func (p Constraints) Unconstrained() bool {
	return len(p.Avoid) == 0 && len(p.AvoidLinks) == 0 && len(p.Cached) == 0 && p.Version == ""
}

func (p Constraints) tokens() time.Duration { return time.Duration(max(p.RemainingTokens, 1)) }

// time is the expected time of some layers on one endpoint for all tokens to
// come, with the load that is known, and for the prefill that they need first.
func (p Constraints) time(h Holding, layers Range, c Costs) time.Duration {
	load := h.Load + p.OwnLoad[h.Endpoint]
	perLayer := float64(h.LayerTime) * (1 + load/float64(max(h.Slots, 1)))
	work := float64(p.tokens()) * float64(layers.Len())
	if !p.Cached[h.Endpoint].Covers(layers) {
		work += c.PrefillRatio * float64(p.Context) * float64(layers.Len())
	}
	return time.Duration(perLayer * work)
}

// tokenTime is the expected time of one token on a route; it also sets the
// times of the hops.
func (m *Graph) tokenTime(r Route, p Constraints, c Costs) time.Duration {
	p.RemainingTokens, p.Context = 1, 0
	var sum time.Duration
	var before Holding
	for n, hop := range r.Hops {
		i := m.byName[hop.Endpoint]
		r.Hops[n].Time = time.Duration(hop.Layers.Len()) * m.holdings[i].LayerTime
		sum += p.time(m.holdings[i], hop.Layers, c)
		if n > 0 {
			sum += c.link(before, m.holdings[i])
		}
		before = m.holdings[i]
	}
	return sum
}
