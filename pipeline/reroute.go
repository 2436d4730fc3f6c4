package pipeline

import (
	"math/rand/v2"
	"time"

	"bulrushshed/replica"
	"bulrushshed/route"
)

// Reroute returns the cheapest route that keeps the first hop of old, uses no
// address in req.Avoid, and prefers the other hops of old. It ignores req.FirstHops.
// The stream is counted on the engines until release is called. The error is a
// *route.Error.
func (p *Planner) Reroute(v *replica.View, req PathRequest, old route.Route, now time.Time) (r route.Route, release func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	graphs := p.graphsFor(v, req)
	p.expire(now)
	r, release, err = p.reroute(v, graphs, req, old, now)
	if others := p.otherLoad(now); err != nil && others != nil && others.AnyAvoided() {
		req.tryReported = true
		return p.reroute(v, graphs, req, old, now)
	}
	return r, release, err
}

func (p *Planner) reroute(v *replica.View, graphs *serviceGraphs, req PathRequest, old route.Route, now time.Time) (r route.Route, release func(), err error) {
	q := p.preferOldHops(p.query(graphs, req, hardUtilizationLimit, now), old, now)
	for _, d := range graphs.byDomain {
		if d.domain == startDomain(v, old) {
			if r, _, err = d.graph.Cheapest(q); err == nil {
				p.addBacklog(graphs, r, old, req.Tokens, now)
				return r, p.reserve(r, req.Tokens, now), nil
			}
		}
	}
	err = &route.Error{Op: "reroute", Kind: route.KindNoRoute, Reason: "no engine holds layers of the service"}
	if !p.links.allows(maxLinkWait, now) {
		return route.Route{}, nil, &route.Error{Op: "reroute", Kind: route.KindNoRoute, Reason: "the links between failure domains are busy"}
	}
	for _, g := range graphs.byVersion {
		if r, _, err = g.Cheapest(q); err == nil {
			p.occupyLinks(graphs, req, r, old, now)
			p.addBacklog(graphs, r, old, req.Tokens, now)
			return r, p.reserve(r, req.Tokens, now), nil
		}
	}
	return route.Route{}, nil, err
}

// addBacklog counts the tokens of a rerouted stream at the engines that read them again,
// for the layers that they did not hold of it. The other hosts of the failure domain
// reroute as many streams to them at the same time.
func (p *Planner) addBacklog(graphs *serviceGraphs, r, old route.Route, tokens int, now time.Time) {
	held := map[string]route.Range{}
	for _, h := range old.Hops {
		held[h.Address] = h.Layers
	}
	for _, h := range r.Hops {
		if held[h.Address] != h.Layers {
			p.backlog.add(h, graphs.layerTime[h.Address], float64(tokens*max(p.opts.LocalHosts(), 1)), now)
		}
	}
}

// startDomain returns the failure domain in which a route starts.
func startDomain(v *replica.View, r route.Route) string {
	first, _ := v.ByAddress(r.Hops[0].Address)
	return first.FailureDomain
}

// keptHopFactor scales the cost of a hop that the old route already uses, because
// its KV cache need not be filled again.
const keptHopFactor = 0.05

// rerouteSpread is the range by which the costs of other engines vary at random. When an
// engine fails, all hosts move its streams at once; without the variation they would move
// them to the same engine, whose load they only learn afterwards.
const rerouteSpread = 0.5

// preferOldHops makes the hops of an old route cheap, and its first hop the only
// one at which a path may start.
func (p *Planner) preferOldHops(q route.Query, old route.Route, now time.Time) route.Query {
	kept := map[string]route.Range{}
	for _, h := range old.Hops[1:] {
		kept[h.Address] = h.Layers
	}
	costModel := q.CostModel
	q.CostModel = func(h *route.Holding) (route.CostModel, bool) {
		cost, ok := costModel(h)
		if _, ok := kept[h.Address]; !ok {
			cost.PerLayer *= 1 + rerouteSpread*rand.Float64()
			cost.PerHop += backlogWeight * float64(p.backlog.wait(h.Address, now))
		}
		cost.PreferredLayers, cost.PreferredFactor = kept[h.Address], keptHopFactor
		return cost, ok
	}
	q.CanStart = nil
	q.FirstHop = &old.Hops[0]
	return q
}
