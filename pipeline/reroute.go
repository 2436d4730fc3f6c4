package pipeline

import (
	"time"

	"bulrushshed/replica"
	"bulrushshed/route"
)

// Reroute returns the best route that keeps the first hop of another one as it
// is and uses none of some addresses, preferring what the old route used. The
// stream counts on its engines until release is called.
func (p *Planner) Reroute(v *replica.View, a PathRequest, old route.Route, now time.Time) (r route.Route, release func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.mapsOf(v, a)
	p.forget(now)
	q := p.keeping(p.query(known, a, brimShare, now), old)
	for _, d := range known.domains {
		if d.domain == domainOf(v, old) {
			if r, _, err = d.m.Cheapest(q); err == nil {
				return r, p.take(r, a.Tokens), nil
			}
		}
	}
	err = &route.Error{Op: "reroute", Kind: route.KindNoRoute, Reason: "no engine holds layers"}
	for _, m := range known.whole {
		if r, _, err = m.Cheapest(q); err == nil {
			return r, p.take(r, a.Tokens), nil
		}
	}
	return route.Route{}, nil, err
}

// domainOf is the failure domain in which a route begins.
func domainOf(v *replica.View, r route.Route) string {
	first, _ := v.ByAddress(r.Hops[0].Address)
	return first.FailureDomain
}

// keptPrice is the share of its price for which a hop of the old route is kept:
// its KV cache need not be filled again.
const keptPrice = 0.05

// keeping makes the hops of an old route cheap, and its first one the only way
// to begin.
func (p *Planner) keeping(q route.Query, old route.Route) route.Query {
	kept := map[string]route.Range{}
	for _, h := range old.Hops[1:] {
		kept[h.Address] = h.Layers
	}
	offer := q.CostModel
	q.CostModel = func(h *route.Holding) (route.CostModel, bool) {
		o, ok := offer(h)
		o.PreferredLayers, o.PreferredFactor = kept[h.Address], keptPrice
		return o, ok
	}
	q.CanStart = nil
	q.FirstHop = &old.Hops[0]
	return q
}
