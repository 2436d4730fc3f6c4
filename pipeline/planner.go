package pipeline

import (
	"sync"
	"time"

	"bulrushshed/ingress"
	"bulrushshed/replica"
	"bulrushshed/route"
	"bulrushshed/usage"
)

const (
	// hopCost is the cost of each additional hop.
	hopCost = 500 * time.Microsecond
	// minCrossDomainCost is the least cost of a link to another failure domain.
	minCrossDomainCost = 8 * time.Millisecond
	// remoteStartCost is the cost of a path that starts in another failure domain
	// than the host's.
	remoteStartCost = 25 * time.Millisecond
	// congestionWeight is the surcharge on the layers of an engine whose KV cache
	// is full, as a multiple of their cost.
	congestionWeight = 8
	// softUtilizationLimit is the KV cache utilization up to which streams are
	// placed freely. The remainder is headroom for streams that grow longer than
	// estimated. hardUtilizationLimit is the one up to which they are placed if
	// there is no other path. It exceeds 1, as the estimates may be too high.
	softUtilizationLimit = 0.85
	hardUtilizationLimit = 1.8
)

// Options are the settings of a planner.
type Options struct {
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// LocalHosts returns the number of hosts in this failure domain, which use its
	// engines before other hosts do.
	LocalHosts func() int
	// Others has what the other hosts of this failure domain report, or is nil. Changed is
	// called when a stream begins or ends, if it is not nil; it must not block.
	Others  OtherHosts
	Changed func()
}

// Planner selects paths by cost and tracks the load that this host puts on each
// engine. It is safe for concurrent use.
type Planner struct {
	opts Options

	mu sync.Mutex
	// cells is the number of KV cache cells that the streams of this host use on
	// each engine. A cell holds one token in one layer.
	cells map[string]float64
	// streams is the number of streams of this host on each engine.
	streams map[string]int
	// starts is the number of streams of this host that begin at each engine.
	starts map[string]int
	// recent has the cells that streams of this host have begun to use just now.
	recent recentCells
	// suspects are the engines that are excluded from new paths for a time.
	suspects map[string]suspicion
	// reports are the latest reports by engine.
	reports map[string]report
	// broken has the engines whose answers broke off lately.
	broken map[string]brokenRate
	// graphs are those of the latest view, by service.
	graphs map[string]*serviceGraphs
	links  domainLinks
	// backlog is that of the engines to which running streams were rerouted.
	backlog prefillBacklog
}

// NewPlanner returns a planner without streams.
func NewPlanner(opts Options) *Planner {
	return &Planner{
		opts: opts, cells: map[string]float64{}, streams: map[string]int{}, starts: map[string]int{},
		suspects: map[string]suspicion{}, reports: map[string]report{}, broken: map[string]brokenRate{}, graphs: map[string]*serviceGraphs{},
		backlog: newPrefillBacklog(),
	}
}

// PathRequest describes the path that a stream needs.
type PathRequest struct {
	Service string
	Model   *ingress.Model
	// Tokens is the expected length of prompt and answer together.
	Tokens int
	// Avoid has the addresses of engines that must not be used.
	Avoid map[string]bool
	// FirstHops has the addresses at which the path may start; nil allows any. It must
	// not start at those in NotFirst.
	FirstHops map[string]bool
	NotFirst  map[string]bool
	// tryReported is set to use engines that other hosts found down.
	tryReported bool
}

// Path returns the cheapest route for a stream and counts the stream on its
// engines until release is called. The error is a *route.Error.
func (p *Planner) Path(v *replica.View, req PathRequest, now time.Time) (r route.Route, release func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	graphs := p.graphsFor(v, req)
	if r, err = p.find(graphs, req, now); err != nil {
		return route.Route{}, nil, err
	}
	p.occupyLinks(graphs, req, r, route.Route{}, now)
	return r, p.reserve(r, req.Tokens, now), nil
}

// find returns the cheapest route for a stream. If there is none, engines that only other
// hosts found down are tried; those hosts may have lost their links to them.
func (p *Planner) find(graphs *serviceGraphs, req PathRequest, now time.Time) (r route.Route, err error) {
	p.expire(now)
	for _, limit := range []float64{softUtilizationLimit, hardUtilizationLimit} {
		if r, err = p.cheapest(graphs, req, limit, now); err == nil {
			return r, nil
		}
	}
	if others := p.otherLoad(now); others == nil || !others.AnyAvoided() {
		return route.Route{}, err
	}
	req.tryReported = true
	return p.cheapest(graphs, req, hardUtilizationLimit, now)
}

// HasPath reports whether a path exists for a stream.
func (p *Planner) HasPath(v *replica.View, req PathRequest, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, err := p.find(p.graphsFor(v, req), req, now)
	return err == nil
}

// cheapest returns the cheapest path that keeps the utilization of every KV cache
// below limit. It searches the host's own failure domain first, and skips the others
// if remoteStartCost alone is at least the cost of the best path so far. It searches
// paths across domains only if no domain has one and the links between them have time.
func (p *Planner) cheapest(graphs *serviceGraphs, req PathRequest, limit float64, now time.Time) (route.Route, error) {
	q := p.query(graphs, req, limit, now)
	var best route.Route
	bestCost := -1.0
	for _, d := range graphs.byDomain {
		startCost := 0.0
		if d.domain != p.opts.FailureDomain {
			startCost = float64(remoteStartCost)
		}
		if bestCost >= 0 && bestCost <= startCost {
			break
		}
		r, cost, err := p.cheapestInDomain(d, graphs, q, req.Tokens, now)
		if err == nil && (bestCost < 0 || cost+startCost < bestCost) {
			best, bestCost = r, cost+startCost
		}
	}
	if bestCost >= 0 {
		return best, nil
	}
	if !p.links.allows(0, now) {
		return route.Route{}, &route.Error{Op: "path", Kind: route.KindNoRoute, Reason: "no failure domain has a path, and the links between them are busy"}
	}
	var err error = &route.Error{Op: "path", Kind: route.KindNoRoute, Reason: "no engine holds layers of the service"}
	for _, g := range graphs.byVersion {
		var r route.Route
		if r, _, err = g.Cheapest(q); err == nil {
			return r, nil
		}
	}
	return route.Route{}, err
}

const (
	// maxFullSearch is the number of engines in a graph up to which all are
	// searched.
	maxFullSearch = 64
	// searchPerLayer is the number of engines per layer that are searched in a
	// larger graph, and prunedTTL how long such a selection of engines is used.
	searchPerLayer = 4
	prunedTTL      = 50 * time.Millisecond
)

// cheapestInDomain returns the cheapest path in one graph. In a large graph only the
// engines that were the cheapest of some layer at most prunedTTL ago are searched,
// unless they have no path.
func (p *Planner) cheapestInDomain(d *domainGraph, graphs *serviceGraphs, q route.Query, tokens int, now time.Time) (route.Route, float64, error) {
	if d.graph.Len() <= maxFullSearch {
		return d.graph.Cheapest(q)
	}
	if d.pruned == nil || now.Sub(d.prunedAt) > prunedTTL {
		d.pruned = d.graph.PruneByLayer(p.query(graphs, PathRequest{Tokens: tokens}, hardUtilizationLimit, now), searchPerLayer)
		d.prunedAt = now
	}
	if r, cost, err := d.pruned.Cheapest(q); err == nil {
		return r, cost, nil
	}
	return d.graph.Cheapest(q)
}

// query returns the query of a graph for a stream that keeps the utilization of
// every KV cache below limit.
func (p *Planner) query(graphs *serviceGraphs, req PathRequest, limit float64, now time.Time) route.Query {
	others := p.otherLoad(now)
	remoteUtilization := sync.OnceValue(func() float64 { return p.localUtilization(graphs, others) })
	q := route.Query{
		CrossDomainCost: float64(crossDomainCost(req.Model, req.Tokens)),
		CostModel: func(h *route.Holding) (route.CostModel, bool) {
			if _, suspect := p.suspects[h.Address]; suspect || req.Avoid[h.Address] {
				return route.CostModel{}, false
			}
			id := graphs.ids[h.Address]
			if isReported(others, id, usage.Full, now) || !req.tryReported && isReported(others, id, usage.Down, now) {
				return route.CostModel{}, false
			}
			if limit < hardUtilizationLimit && p.isOutlier(h.Address, now) {
				return route.CostModel{}, false
			}
			cost := route.CostModel{
				PerLayer: float64(h.LayerTime) * p.slownessFactor(h.Address), PerHop: float64(hopCost) + p.brokenPenalty(h.Address, now), MaxUtilization: limit, Congestion: congestionWeight,
			}
			cost.Utilization, cost.UtilizationPerLayer = p.utilization(graphs, h.Address, float64(req.Tokens), others, now)
			if h.FailureDomain != p.opts.FailureDomain {
				cost.Utilization += remoteUtilization()
			}
			return cost, true
		},
	}
	if req.FirstHops != nil || len(req.NotFirst) > 0 {
		q.CanStart = func(h *route.Holding) bool {
			return (req.FirstHops == nil || req.FirstHops[h.Address]) && !req.NotFirst[h.Address]
		}
	}
	return q
}

// UnservedLayer is a layer that no engine can run for a stream.
type UnservedLayer struct {
	// Layer is its number, or -1 if there is no such layer.
	Layer int
	// Holders is the number of engines that hold it, and Full the number of those that
	// only lack capacity. The others are suspected or avoided.
	Holders int
	Full    int
}

// UnservedLayer explains why there is no path. It returns the first layer that no
// usable engine with capacity holds.
func (p *Planner) UnservedLayer(v *replica.View, req PathRequest, now time.Time) UnservedLayer {
	p.mu.Lock()
	defer p.mu.Unlock()
	graphs := p.graphsFor(v, req)
	others := p.otherLoad(now)
	q := p.query(graphs, req, hardUtilizationLimit, now)
	holders, full, free := make([]int, req.Model.Layers), make([]int, req.Model.Layers), make([]bool, req.Model.Layers)
	for _, g := range graphs.byVersion {
		for _, h := range g.Holdings() {
			cost, usable := q.CostModel(&h)
			_, fits := cost.Cost(route.Range{From: h.Layers.From, To: h.Layers.From + 1})
			for l := h.Layers.From; l < h.Layers.To; l++ {
				holders[l]++
				if usable && !fits || p.suspects[h.Address].busy || isReported(others, graphs.ids[h.Address], usage.Full, now) {
					full[l]++
				}
				free[l] = free[l] || usable && fits && (l > 0 || q.CanStart == nil || q.CanStart(&h))
			}
		}
	}
	for l := range free {
		if !free[l] {
			return UnservedLayer{Layer: l, Holders: holders[l], Full: full[l]}
		}
	}
	return UnservedLayer{Layer: -1}
}

// reserve counts a stream on the engines of its path until release is called.
func (p *Planner) reserve(r route.Route, tokens int, now time.Time) (release func()) {
	p.addLoad(r, float64(tokens), 1)
	if p.opts.Others != nil {
		for _, h := range r.Hops {
			p.recent.add(h.Address, float64(tokens*h.Layers.Len()), now)
		}
	}
	var once sync.Once
	return func() {
		once.Do(func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.addLoad(r, -float64(tokens), -1)
		})
	}
}

func (p *Planner) addLoad(r route.Route, tokens float64, streams int) {
	first := r.Hops[0].Address
	if p.starts[first] += streams; p.starts[first] <= 0 {
		delete(p.starts, first)
	}
	if p.opts.Changed != nil {
		p.opts.Changed()
	}
	for _, h := range r.Hops {
		p.cells[h.Address] += tokens * float64(h.Layers.Len())
		p.streams[h.Address] += streams
		if p.streams[h.Address] <= 0 {
			delete(p.cells, h.Address)
			delete(p.streams, h.Address)
		}
	}
}
