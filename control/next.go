package control

import (
	"slices"

	"bulrushshed/engine"
	"bulrushshed/route"
	"bulrushshed/rule"
)

// Engine is what is known of one engine.
type Engine struct {
	Holding route.Holding
	// MaxLayers is the number of layers that it can hold.
	MaxLayers int
	// Changing is set while it carries out an order.
	Changing bool
	// Role is the one that it has, and Standby whether the rules want it to
	// stand by.
	Role    engine.Role
	Standby bool
}

// Move is one order, yet without its fencing number, and why it is given.
type Move struct {
	Endpoint    string
	Address     string
	Incarnation int64
	Order       engine.Order
	Reason      string
}

const (
	// keep is the share of the flow that must remain while an engine is out
	// of service for a change.
	keep = 0.5
	// worthwhile is how much greater the flow must become for a change of an
	// engine that serves.
	worthwhile = 1.1
)

// value is how good a set of holdings is: covered layers first, then the flow.
type value struct {
	covered int
	flow    float64
}

func (v value) better(w value) bool {
	if v.covered != w.covered {
		return v.covered > w.covered
	}
	return v.flow > w.flow
}

func judge(layers int, holdings []route.Holding) value {
	covered := 0
	for l := range layers {
		if slices.ContainsFunc(holdings, func(h route.Holding) bool { return h.Layers.From <= l && l < h.Layers.To }) {
			covered++
		}
	}
	v := value{covered: covered}
	if covered == layers {
		v.flow = route.MaxFlow(layers, holdings)
	}
	return v
}

// Next returns up to limit changes, less those that are under way.
func Next(m rule.Model, engines []Engine, limit int) []Move {
	moves, engines := roles(engines)
	p := newPlan(m, engines)
	for range limit - p.changing {
		move, ok := p.roll()
		if !ok {
			move, ok = p.improve()
		}
		if !ok {
			break
		}
		moves = append(moves, move)
		p.take(move)
	}
	return moves
}

// plan is the state of one round: which engines serve the version in use, which
// serve others, and which are free.
type plan struct {
	model    rule.Model
	engines  map[string]Engine
	names    []string
	changing int
	// out are the engines that this round has moved.
	out map[string]bool
}

func newPlan(m rule.Model, engines []Engine) *plan {
	p := &plan{model: m, engines: map[string]Engine{}, out: map[string]bool{}}
	for _, e := range engines {
		if e.Holding.Model != "" && e.Holding.Model != m.Name {
			continue
		}
		if e.Changing {
			p.changing++
			p.out[e.Holding.Endpoint] = true
		}
		p.engines[e.Holding.Endpoint] = e
		p.names = append(p.names, e.Holding.Endpoint)
	}
	slices.Sort(p.names)
	return p
}

// serving returns what engines in service hold of a version, but for one.
func (p *plan) serving(version, but string) []route.Holding {
	var all []route.Holding
	for _, name := range p.names {
		h := p.engines[name].Holding
		if !p.out[name] && name != but && h.Model == p.model.Name && h.Version == version {
			all = append(all, h)
		}
	}
	return all
}

// coming returns what engines hold of the version in use, or will once their
// changes are done.
func (p *plan) coming(but string) []route.Holding {
	var all []route.Holding
	for _, name := range p.names {
		h := p.engines[name].Holding
		if name != but && h.Model == p.model.Name && h.Version == p.model.Version {
			all = append(all, h)
		}
	}
	return all
}

// versions returns the other versions that engines in service hold.
func (p *plan) versions() []string {
	var all []string
	for _, name := range p.names {
		h := p.engines[name].Holding
		if !p.out[name] && h.Model == p.model.Name && h.Version != p.model.Version && !slices.Contains(all, h.Version) {
			all = append(all, h.Version)
		}
	}
	slices.Sort(all)
	return all
}

// carried is the greatest flow of any one version that is in service, but for
// one engine.
func (p *plan) carried(but string) float64 {
	most := route.MaxFlow(p.model.Layers, p.serving(p.model.Version, but))
	for _, v := range p.versions() {
		most = max(most, route.MaxFlow(p.model.Layers, p.serving(v, but)))
	}
	return most
}

// spare reports whether an engine can be taken out of service now.
func (p *plan) spare(name string) bool {
	before := p.carried("")
	return before == 0 || p.carried(name) >= keep*before
}

// roll moves an engine from another version to the one in use.
func (p *plan) roll() (Move, bool) {
	coming := p.coming("")
	now := judge(p.model.Layers, coming)
	var best Move
	var gain value
	found := false
	for _, name := range p.names {
		e := p.engines[name]
		h := e.Holding
		old := h.Model == p.model.Name && h.Version != p.model.Version
		if p.out[name] || !old || !p.spare(name) {
			continue
		}
		r, v := p.place(e, coming)
		if !found || v.better(gain) {
			best, gain, found = p.move(e, r, "version"), v, true
		}
	}
	return best, found && (gain.better(now) || now.covered == p.model.Layers)
}

// improve gives a free engine work, or moves one that serves to where it brings
// more.
func (p *plan) improve() (Move, bool) {
	coming := p.coming("")
	now := judge(p.model.Layers, coming)
	var best Move
	gain := now
	found := false
	for _, name := range p.names {
		e := p.engines[name]
		free := e.Holding.Model == ""
		if p.out[name] || !free && (e.Holding.Version != p.model.Version || !p.spare(name)) {
			continue
		}
		r, v := p.place(e, p.coming(name))
		enough := v.covered > now.covered || v.covered == now.covered && (free && v.flow > now.flow || v.flow >= worthwhile*now.flow)
		if enough && v.better(gain) && r != e.Holding.Layers {
			best, gain, found = p.move(e, r, "flow"), v, true
		}
	}
	return best, found
}

// place returns the layers at which an engine brings the most beside others; of
// equals, those of which it holds the most already.
func (p *plan) place(e Engine, others []route.Holding) (route.Range, value) {
	size := min(e.MaxLayers, p.model.Layers)
	var best route.Range
	var most value
	for _, from := range p.starts(size, others, e.Holding.Layers) {
		h := e.Holding
		h.Layers = route.Range{From: from, To: from + size}
		v := judge(p.model.Layers, append(slices.Clip(others), h))
		same := v == most && overlap(h.Layers, e.Holding.Layers) > overlap(best, e.Holding.Layers)
		if best.Len() == 0 || v.better(most) || same {
			best, most = h.Layers, v
		}
	}
	return best, most
}

// starts returns the first layers that are worth trying: those at which another
// engine's range begins or ends, and those that end there.
func (p *plan) starts(size int, others []route.Holding, own route.Range) []int {
	last := p.model.Layers - size
	all := []int{0, last, min(max(own.From, 0), last)}
	for _, h := range others {
		for _, at := range []int{h.Layers.From, h.Layers.To, h.Layers.From - size, h.Layers.To - size} {
			if at >= 0 && at <= last {
				all = append(all, at)
			}
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func overlap(a, b route.Range) int {
	return max(min(a.To, b.To)-max(a.From, b.From), 0)
}

func (p *plan) move(e Engine, r route.Range, reason string) Move {
	return Move{
		Endpoint: e.Holding.Endpoint, Address: e.Holding.Address, Incarnation: e.Holding.Incarnation, Reason: reason,
		Order: engine.Load(p.model.Name, p.model.Version, r),
	}
}

// take counts a move as under way.
func (p *plan) take(m Move) {
	e := p.engines[m.Endpoint]
	e.Holding.Model = m.Order.Model
	e.Holding.Version = m.Order.Release()
	e.Holding.Layers = m.Order.Layers
	p.engines[m.Endpoint] = e
	p.out[m.Endpoint] = true
}
