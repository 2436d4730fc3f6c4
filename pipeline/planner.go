package pipeline

import (
	"sync"
	"time"

	"bulrushshed/ingress"
	"bulrushshed/replica"
	"bulrushshed/route"
)

const (
	// hopTime is the price of one more hop.
	hopTime = 500 * time.Microsecond
	// crossTime is the price of a link to another failure domain.
	crossTime = 8 * time.Millisecond
	// awayTime is the price of a path that begins in another failure domain
	// than the host's.
	awayTime = 25 * time.Millisecond
	// crowding is how much dearer an engine is whose KV cache is full.
	crowding = 8
	// fullShare is the share of a KV cache up to which streams are placed
	// freely, and brimShare the one up to which they are if there is no other
	// way; the rest is left for streams that grow longer than they said.
	fullShare = 0.85
	brimShare = 1.8
)

// Options are the settings of a planner.
type Options struct {
	// FailureDomain is the host's own.
	FailureDomain string
	// Near returns the number of hosts in the host's failure domain, which
	// share its engines before others do.
	Near func() int
}

// Planner is safe for concurrent use.
type Planner struct {
	opts Options

	mu sync.Mutex
	// cells is what the streams of this host take of each engine's KV cache,
	// in tokens of one layer.
	cells map[string]float64
	// streams is the number of streams of this host on each engine.
	streams map[string]int
	// suspects are engines that are left out for a time.
	suspects map[string]suspicion
	// reports are what engines last told of themselves.
	reports map[string]report
	// maps are those of the last view, by service.
	maps map[string]*maps
}

// NewPlanner returns a planner that knows of no streams.
func NewPlanner(opts Options) *Planner {
	return &Planner{
		opts: opts, cells: map[string]float64{}, streams: map[string]int{},
		suspects: map[string]suspicion{}, reports: map[string]report{}, maps: map[string]*maps{},
	}
}

// PathRequest is what one stream needs.
type PathRequest struct {
	Service string
	Model   *ingress.Model
	// Tokens is the expected length of prompt and answer.
	Tokens int
	// Avoid names addresses that must not be used.
	Avoid map[string]bool
	// First names the addresses at which the path may begin; nil for any.
	First map[string]bool
}

// Path returns the best route for a stream and counts the stream on its
// engines until release is called. The error is a *route.Error.
func (p *Planner) Path(v *replica.View, a PathRequest, now time.Time) (r route.Route, release func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.mapsOf(v, a)
	p.forget(now)
	for _, share := range []float64{fullShare, brimShare} {
		r, err = p.cheapest(known, a, share, now)
		if err == nil {
			return r, p.take(r, a.Tokens), nil
		}
	}
	return route.Route{}, nil, err
}

// Has reports whether there is a path for a stream.
func (p *Planner) Has(v *replica.View, a PathRequest, now time.Time) bool {
	_, release, err := p.Path(v, a, now)
	if err != nil {
		return false
	}
	release()
	return true
}

// cheapest returns the best path that leaves every KV cache below a share. Maps of
// the host's own failure domain come first: another domain is of no use if a path
// there can't be cheaper.
func (p *Planner) cheapest(known *maps, a PathRequest, share float64, now time.Time) (route.Route, error) {
	q := p.query(known, a, share, now)
	var best route.Route
	least := -1.0
	for _, d := range known.domains {
		away := 0.0
		if d.domain != p.opts.FailureDomain {
			away = float64(awayTime)
		}
		if least >= 0 && least <= away {
			break
		}
		r, price, err := p.within(d, known, q, a.Tokens, now)
		if err == nil && (least < 0 || price+away < least) {
			best, least = r, price+away
		}
	}
	if least >= 0 {
		return best, nil
	}
	var err error = &route.Error{Op: "path", Kind: route.KindNoRoute, Reason: "no engine holds layers"}
	for _, m := range known.whole {
		var r route.Route
		if r, _, err = m.Cheapest(q); err == nil {
			return r, nil
		}
	}
	return route.Route{}, err
}

const (
	// searchAll is the number of engines in a map up to which all are searched.
	searchAll = 64
	// fewEach is how many engines of each layer are searched beyond it, and
	// fewLife how long these are the same ones.
	fewEach = 4
	fewLife = 50 * time.Millisecond
)

// within returns the best path in one map. Of many engines, only those that were the
// cheapest of some layer a moment ago are searched, if these have a path.
func (p *Planner) within(d *domainMap, known *maps, q route.Query, tokens int, now time.Time) (route.Route, float64, error) {
	if d.m.Len() <= searchAll {
		return d.m.Cheapest(q)
	}
	if d.few == nil || now.Sub(d.fewAt) > fewLife {
		d.few = d.m.Narrow(p.query(known, PathRequest{Tokens: tokens}, brimShare, now), fewEach)
		d.fewAt = now
	}
	if r, price, err := d.few.Cheapest(q); err == nil {
		return r, price, nil
	}
	return d.m.Cheapest(q)
}

// query is what a stream asks of a map, if every KV cache stays below a share.
func (p *Planner) query(known *maps, a PathRequest, share float64, now time.Time) route.Query {
	near := float64(max(p.opts.Near(), 1))
	others := sync.OnceValue(func() float64 { return p.usedNear(known, near) })
	q := route.Query{
		CrossDomainCost: float64(crossTime),
		CostModel: func(h *route.Holding) (route.CostModel, bool) {
			if _, suspect := p.suspects[h.Address]; suspect || a.Avoid[h.Address] {
				return route.CostModel{}, false
			}
			o := route.CostModel{
				PerLayer: float64(h.LayerTime) * p.slowness(h.Address), PerHop: float64(hopTime), MaxUtilization: share, Congestion: crowding,
			}
			o.Utilization, o.UtilizationPerLayer = p.used(h.Address, known.room[h.Address], float64(a.Tokens), near, now)
			if h.FailureDomain != p.opts.FailureDomain {
				o.Utilization += others()
			}
			return o, true
		},
	}
	if a.First != nil {
		q.CanStart = func(h *route.Holding) bool { return a.First[h.Address] }
	}
	return q
}

// Gap says why there is no path: the first layer that no engine may run, and
// how many engines hold it but are full, suspected or avoided.
func (p *Planner) Gap(v *replica.View, a PathRequest, now time.Time) (layer, held int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.mapsOf(v, a)
	q := p.query(known, a, brimShare, now)
	holders, free := make([]int, a.Model.Layers), make([]bool, a.Model.Layers)
	for _, m := range known.whole {
		for _, h := range m.Holdings() {
			o, usable := q.CostModel(&h)
			_, fits := o.Cost(route.Range{From: h.Layers.From, To: h.Layers.From + 1})
			for l := h.Layers.From; l < h.Layers.To; l++ {
				holders[l]++
				free[l] = free[l] || usable && fits && (l > 0 || q.CanStart == nil || q.CanStart(&h))
			}
		}
	}
	for l := range free {
		if !free[l] {
			return l, holders[l]
		}
	}
	return -1, 0
}

// take counts a stream on the engines of its path.
func (p *Planner) take(r route.Route, tokens int) (release func()) {
	p.count(r, float64(tokens), 1)
	var once sync.Once
	return func() {
		once.Do(func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.count(r, -float64(tokens), -1)
		})
	}
}

func (p *Planner) count(r route.Route, tokens float64, streams int) {
	for _, h := range r.Hops {
		p.cells[h.Address] += tokens * float64(h.Layers.Len())
		p.streams[h.Address] += streams
		if p.streams[h.Address] <= 0 {
			delete(p.cells, h.Address)
			delete(p.streams, h.Address)
		}
	}
}
