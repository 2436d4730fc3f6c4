package control

import (
	"slices"

	"bulrushshed/engine"
	"bulrushshed/route"
	"bulrushshed/rule"
)

// Engine is the known state of one engine.
type Engine struct {
	Holding route.Holding
	// MaxLayers is the maximum number of layers that the engine can hold.
	MaxLayers int
	// Changing is set while the engine carries out an order.
	Changing bool
	// Role is the current role, and Standby whether the rules specify that the
	// engine stands by.
	Role    engine.Role
	Standby bool
}

// Move is an order to an engine, still without a fencing token, and the reason
// for it.
type Move struct {
	Endpoint    string
	Address     string
	Incarnation int64
	Order       engine.Order
	Reason      string
}

const (
	// minRemainingFlow is the fraction of the flow that must remain while an
	// engine is out of service for a change.
	minRemainingFlow = 0.5
	// minFlowGain is the factor by which the flow must increase to justify
	// changing an engine that serves.
	minFlowGain = 1.1
)

// score rates a set of holdings by the number of covered layers, then by the flow.
type score struct {
	covered int
	flow    float64
}

func (s score) betterThan(other score) bool {
	if s.covered != other.covered {
		return s.covered > other.covered
	}
	return s.flow > other.flow
}

func evaluate(layers int, holdings []route.Holding) score {
	covered := 0
	for l := range layers {
		if slices.ContainsFunc(holdings, func(h route.Holding) bool { return h.Layers.From <= l && l < h.Layers.To }) {
			covered++
		}
	}
	s := score{covered: covered}
	if covered == layers {
		s.flow = route.MaxFlow(layers, holdings)
	}
	return s
}

// NextMoves returns the next moves for a model. Role changes are not limited; the
// other moves, together with the changes already in progress, do not exceed limit.
func NextMoves(m rule.Model, engines []Engine, limit int) []Move {
	moves, engines := roleChanges(engines)
	p := newPlan(m, engines)
	for range limit - p.changing {
		move, ok := p.rollOut()
		if !ok {
			move, ok = p.improve()
		}
		if !ok {
			break
		}
		moves = append(moves, move)
		p.apply(move)
	}
	return moves
}

// plan is the working state of one call of NextMoves. It contains the engines that
// hold the model, in any version, and those that are free.
type plan struct {
	model    rule.Model
	engines  map[string]Engine
	names    []string
	changing int
	// unavailable holds the engines that are changing already or that this call
	// moves.
	unavailable map[string]bool
}

func newPlan(m rule.Model, engines []Engine) *plan {
	p := &plan{model: m, engines: map[string]Engine{}, unavailable: map[string]bool{}}
	for _, e := range engines {
		if e.Holding.Model != "" && e.Holding.Model != m.Name {
			continue
		}
		if e.Changing {
			p.changing++
			p.unavailable[e.Holding.Endpoint] = true
		}
		p.engines[e.Holding.Endpoint] = e
		p.names = append(p.names, e.Holding.Endpoint)
	}
	slices.Sort(p.names)
	return p
}

// serving returns the holdings of a version on engines in service, except one.
func (p *plan) serving(version, except string) []route.Holding {
	var all []route.Holding
	for _, name := range p.names {
		h := p.engines[name].Holding
		if !p.unavailable[name] && name != except && h.Model == p.model.Name && h.Version == version {
			all = append(all, h)
		}
	}
	return all
}

// planned returns the holdings of the target version on all engines except one, as
// they are or will be once the changes in progress are done.
func (p *plan) planned(except string) []route.Holding {
	var all []route.Holding
	for _, name := range p.names {
		h := p.engines[name].Holding
		if name != except && h.Model == p.model.Name && h.Version == p.model.Version {
			all = append(all, h)
		}
	}
	return all
}

// otherVersions returns the versions other than the target version that engines
// in service hold.
func (p *plan) otherVersions() []string {
	var all []string
	for _, name := range p.names {
		h := p.engines[name].Holding
		if !p.unavailable[name] && h.Model == p.model.Name && h.Version != p.model.Version && !slices.Contains(all, h.Version) {
			all = append(all, h.Version)
		}
	}
	slices.Sort(all)
	return all
}

// maxFlow returns the maximum flow of any single version in service, without one
// of the engines.
func (p *plan) maxFlow(except string) float64 {
	most := route.MaxFlow(p.model.Layers, p.serving(p.model.Version, except))
	for _, v := range p.otherVersions() {
		most = max(most, route.MaxFlow(p.model.Layers, p.serving(v, except)))
	}
	return most
}

// canSpare reports whether an engine can be taken out of service now.
func (p *plan) canSpare(name string) bool {
	before := p.maxFlow("")
	return before == 0 || p.maxFlow(name) >= minRemainingFlow*before
}

// rollOut returns the best move of an engine from another version to the target
// version, if there is one.
func (p *plan) rollOut() (Move, bool) {
	planned := p.planned("")
	current := evaluate(p.model.Layers, planned)
	var best Move
	var bestScore score
	found := false
	for _, name := range p.names {
		e := p.engines[name]
		h := e.Holding
		old := h.Model == p.model.Name && h.Version != p.model.Version
		if p.unavailable[name] || !old || !p.canSpare(name) {
			continue
		}
		r, s := p.bestRange(e, planned)
		if !found || s.betterThan(bestScore) {
			best, bestScore, found = p.newMove(e, r, "version"), s, true
		}
	}
	return best, found && (bestScore.betterThan(current) || current.covered == p.model.Layers)
}

// improve returns the best assignment of layers to a free engine, or the best move
// of an engine in service to other layers, if there is one that covers more layers or
// increases the flow enough.
func (p *plan) improve() (Move, bool) {
	planned := p.planned("")
	current := evaluate(p.model.Layers, planned)
	var best Move
	bestScore := current
	found := false
	for _, name := range p.names {
		e := p.engines[name]
		free := e.Holding.Model == ""
		if p.unavailable[name] || !free && (e.Holding.Version != p.model.Version || !p.canSpare(name)) {
			continue
		}
		r, s := p.bestRange(e, p.planned(name))
		enough := s.covered > current.covered || s.covered == current.covered && (free && s.flow > current.flow || s.flow >= minFlowGain*current.flow)
		if enough && s.betterThan(bestScore) && r != e.Holding.Layers {
			best, bestScore, found = p.newMove(e, r, "flow"), s, true
		}
	}
	return best, found
}

// bestRange returns the layers with which an engine improves the score of the
// other holdings most, and that score. Among equals it prefers the range with the
// most layers that the engine holds already.
func (p *plan) bestRange(e Engine, others []route.Holding) (route.Range, score) {
	size := min(e.MaxLayers, p.model.Layers)
	var best route.Range
	var bestScore score
	for _, from := range p.candidateStarts(size, others, e.Holding.Layers) {
		h := e.Holding
		h.Layers = route.Range{From: from, To: from + size}
		s := evaluate(p.model.Layers, append(slices.Clip(others), h))
		same := s == bestScore && overlap(h.Layers, e.Holding.Layers) > overlap(best, e.Holding.Layers)
		if best.Len() == 0 || s.betterThan(bestScore) || same {
			best, bestScore = h.Layers, s
		}
	}
	return best, bestScore
}

// candidateStarts returns the start layers to try for a range of the given size:
// the range starts or ends where another engine's range starts or ends, at either
// end of the model, or where the engine's own range starts.
func (p *plan) candidateStarts(size int, others []route.Holding, own route.Range) []int {
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

func (p *plan) newMove(e Engine, r route.Range, reason string) Move {
	return Move{
		Endpoint: e.Holding.Endpoint, Address: e.Holding.Address, Incarnation: e.Holding.Incarnation, Reason: reason,
		Order: engine.ServeOrder(p.model.Name, p.model.Version, r),
	}
}

// apply updates the plan as if the move were in progress.
func (p *plan) apply(m Move) {
	e := p.engines[m.Endpoint]
	e.Holding.Model = m.Order.Model
	e.Holding.Version = m.Order.ReleaseName()
	e.Holding.Layers = m.Order.Layers
	p.engines[m.Endpoint] = e
	p.unavailable[m.Endpoint] = true
}
