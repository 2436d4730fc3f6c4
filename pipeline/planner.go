package pipeline

import (
	"strconv"
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
	// Hosts returns the number of hosts that share the engines.
	Hosts func() int
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

// suspicion says since when and until when an engine is left out.
type suspicion struct {
	since time.Time
	until time.Time
}

// report is an engine's own word, as of a time.
type report struct {
	slowness float64
	full     float64
	at       time.Time
}

// maps are what the engines of a service hold, in one view.
type maps struct {
	revision int64
	model    *ingress.Model
	// domains are maps of one failure domain and one version of the weights;
	// whole are those of one version over all domains.
	domains []domainMap
	whole   []*route.Map
	// room is the size of each engine's KV cache.
	room map[string]float64
}

type domainMap struct {
	domain string
	m      *route.Map
}

// NewPlanner returns a planner that knows of no streams.
func NewPlanner(opts Options) *Planner {
	return &Planner{
		opts: opts, cells: map[string]float64{}, streams: map[string]int{},
		suspects: map[string]suspicion{}, reports: map[string]report{}, maps: map[string]*maps{},
	}
}

// Ask is what one stream needs.
type Ask struct {
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
func (p *Planner) Path(v *replica.View, a Ask, now time.Time) (r route.Route, release func(), err error) {
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
func (p *Planner) Has(v *replica.View, a Ask, now time.Time) bool {
	_, release, err := p.Path(v, a, now)
	if err != nil {
		return false
	}
	release()
	return true
}

// cheapest returns the best path that leaves every KV cache below a share.
func (p *Planner) cheapest(known *maps, a Ask, share float64, now time.Time) (route.Route, error) {
	prices := p.prices(known, a, share, now)
	var best route.Route
	least := -1.0
	for _, d := range known.domains {
		r, price, err := d.m.Cheapest(prices)
		if err != nil {
			continue
		}
		if d.domain != p.opts.FailureDomain {
			price += float64(awayTime)
		}
		if least < 0 || price < least {
			best, least = r, price
		}
	}
	if least >= 0 {
		return best, nil
	}
	var err error = &route.Error{Op: "path", Kind: route.KindNone, Reason: "no engine holds layers"}
	for _, m := range known.whole {
		var r route.Route
		if r, _, err = m.Cheapest(prices); err == nil {
			return r, nil
		}
	}
	return route.Route{}, err
}

func (p *Planner) prices(known *maps, a Ask, share float64, now time.Time) route.Prices {
	hosts := float64(max(p.opts.Hosts(), 1))
	return route.Prices{
		Run: func(h route.Holding, layers route.Range) (float64, bool) {
			if a.Avoid[h.Address] || layers.From == 0 && a.First != nil && !a.First[h.Address] {
				return 0, false
			}
			if _, suspect := p.suspects[h.Address]; suspect {
				return 0, false
			}
			used := p.used(h.Address, known.room[h.Address], float64(a.Tokens*layers.Len()), hosts, now)
			if used > share {
				return 0, false
			}
			run := float64(h.LayerTime) * float64(layers.Len()) * p.slowness(h.Address)
			return run*(1+crowding*used*used*used*used) + float64(hopTime), true
		},
		Link: func(from, to route.Holding) float64 {
			if from.FailureDomain == to.FailureDomain {
				return 0
			}
			return float64(crossTime)
		},
	}
}

// used is the share of an engine's KV cache that is in use with a stream more:
// by its own word, if that is recent, or else as if all hosts had as much there
// as this one.
func (p *Planner) used(address string, room, more, hosts float64, now time.Time) float64 {
	room = max(room, 1)
	if r, ok := p.reports[address]; ok && now.Sub(r.at) <= fullLife {
		return r.full + hosts*more/room
	}
	return (hosts*p.cells[address] + more) / room
}

func (p *Planner) slowness(address string) float64 {
	if r, ok := p.reports[address]; ok {
		return max(r.slowness*r.slowness, 1)
	}
	return 1
}

// Reported takes an engine's own word: how many times slower than usual it is,
// and which share of its KV cache is in use.
func (p *Planner) Reported(address string, slowness, full float64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports[address] = report{slowness: slowness, full: full, at: now}
}

const (
	// slowLife is how long an engine that said that it is slow counts as such,
	// and fullLife how long its word of its KV cache is used.
	slowLife = 6 * time.Second
	fullLife = 2500 * time.Millisecond
)

// Slow reports whether an engine said lately that it is slow.
func (p *Planner) Slow(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reports[address].slowness >= slowFrom
}

// slowFrom is the slowness from which on a stream leaves an engine.
const slowFrom = 2

// Reroute returns the best route that keeps the first hop of another one as it
// is and uses none of some addresses, preferring what the old route used. The
// stream counts on its engines until release is called.
func (p *Planner) Reroute(v *replica.View, a Ask, old route.Route, now time.Time) (r route.Route, release func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.mapsOf(v, a)
	p.forget(now)
	prices := p.keeping(p.prices(known, a, brimShare, now), old)
	for _, d := range known.domains {
		if d.domain == domainOf(v, old) {
			if r, _, err = d.m.Cheapest(prices); err == nil {
				return r, p.take(r, a.Tokens), nil
			}
		}
	}
	err = &route.Error{Op: "reroute", Kind: route.KindNone, Reason: "no engine holds layers"}
	for _, m := range known.whole {
		if r, _, err = m.Cheapest(prices); err == nil {
			return r, p.take(r, a.Tokens), nil
		}
	}
	return route.Route{}, nil, err
}

// domainOf is the failure domain in which a route begins.
func domainOf(v *replica.View, r route.Route) string {
	first, _ := v.At(r.Hops[0].Address)
	return first.FailureDomain
}

// keptPrice is the share of its price for which a hop of the old route is kept:
// its KV cache need not be filled again.
const keptPrice = 0.05

// keeping makes the hops of an old route cheap, and its first one the only way
// to begin.
func (p *Planner) keeping(prices route.Prices, old route.Route) route.Prices {
	first := old.Hops[0]
	kept := map[string]route.Range{}
	for _, h := range old.Hops {
		kept[h.Address] = h.Layers
	}
	run := prices.Run
	prices.Run = func(h route.Holding, layers route.Range) (float64, bool) {
		isFirst := h.Address == first.Address && layers == first.Layers
		if isFirst != (layers.From == 0) {
			return 0, false
		}
		if isFirst {
			return 0, true
		}
		price, ok := run(h, layers)
		if ok && kept[h.Address] == layers {
			price *= keptPrice
		}
		return price, ok
	}
	return prices
}

// Gap says why there is no path: the first layer that no engine may run, and
// how many engines hold it but are full, suspected or avoided.
func (p *Planner) Gap(v *replica.View, a Ask, now time.Time) (layer, held int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.mapsOf(v, a)
	prices := p.prices(known, a, brimShare, now)
	for l := range a.Model.Layers {
		one := route.Range{From: l, To: l + 1}
		held = 0
		free := false
		for _, m := range known.whole {
			for _, h := range m.Holdings() {
				if h.Layers.Covers(one) {
					held++
					_, ok := prices.Run(h, one)
					free = free || ok
				}
			}
		}
		if !free {
			return l, held
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

// Suspect leaves an engine out of new paths until a time.
func (p *Planner) Suspect(address string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(time.Now())
	known, ok := p.suspects[address]
	if !ok {
		known.since = time.Now()
	}
	if until.After(known.until) {
		known.until = until
	}
	p.suspects[address] = known
}

// goneAfter is how long an engine must have been suspected to count as gone.
const goneAfter = 900 * time.Millisecond

// Gone reports whether an engine has been suspected for long.
func (p *Planner) Gone(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(now)
	known, ok := p.suspects[address]
	return ok && now.Sub(known.since) >= goneAfter
}

func (p *Planner) forget(now time.Time) {
	for address, known := range p.suspects {
		if !now.Before(known.until) {
			delete(p.suspects, address)
		}
	}
	for address, r := range p.reports {
		if now.Sub(r.at) > slowLife {
			delete(p.reports, address)
		}
	}
}

// mapsOf returns the maps of a view, made at its first use.
func (p *Planner) mapsOf(v *replica.View, a Ask) *maps {
	if known, ok := p.maps[a.Service]; ok && known.revision == v.Revision && known.model == a.Model {
		return known
	}
	known := newMaps(v, a)
	p.maps[a.Service] = known
	return known
}

func newMaps(v *replica.View, a Ask) *maps {
	known := &maps{revision: v.Revision, model: a.Model, room: map[string]float64{}}
	type part struct{ domain, version string }
	var parts []part
	byPart := map[part][]route.Holding{}
	byVersion := map[string][]route.Holding{}
	for _, r := range v.Of(a.Service) {
		acc, ok := a.Model.Accelerators[r.Accelerator]
		if !ok || r.Layers.Len() <= 0 {
			continue
		}
		h := holding(r, a.Service, a.Model.LayerTime(acc))
		known.room[r.Address] = a.Model.Cells(acc, r.Layers.Len())
		at := part{domain: r.FailureDomain, version: h.Version}
		if len(byPart[at]) == 0 {
			parts = append(parts, at)
		}
		byPart[at] = append(byPart[at], h)
		byVersion[h.Version] = append(byVersion[h.Version], h)
	}
	for _, at := range parts {
		m := route.NewMap(a.Service, at.version, a.Model.Layers, byPart[at])
		known.domains = append(known.domains, domainMap{domain: at.domain, m: m})
	}
	for version, all := range byVersion {
		known.whole = append(known.whole, route.NewMap(a.Service, version, a.Model.Layers, all))
	}
	return known
}

func holding(r replica.Replica, model string, layerTime time.Duration) route.Holding {
	return route.Holding{
		Endpoint: r.ID, Address: r.Address, Incarnation: r.Started, FailureDomain: r.FailureDomain,
		Model: model, Version: strconv.Itoa(r.Version), Layers: r.Layers, LayerTime: layerTime, Slots: r.Slots,
	}
}
