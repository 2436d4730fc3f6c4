package control

import (
	"time"

	"bulrushshed/engine"
)

// pendingTimeout is how long an order that no status shows is considered pending.
const pendingTimeout = time.Minute

// Tracker keeps the orders of this host that do not show in the engines' statuses
// yet. Statuses lag behind, so without it the next round would repeat an order or
// give one that reverts it. It is not safe for concurrent use.
type Tracker struct {
	pending map[string]pendingOrder
}

type pendingOrder struct {
	order       engine.Order
	incarnation int64
	at          time.Time
}

// NewTracker returns a tracker without pending orders.
func NewTracker() *Tracker {
	return &Tracker{pending: map[string]pendingOrder{}}
}

// MarkAccepted records that an engine accepted an order.
func (t *Tracker) MarkAccepted(m Move, now time.Time) {
	t.pending[m.Endpoint] = pendingOrder{order: m.Order, incarnation: m.Incarnation, at: now}
}

// WithPending returns the engines in the state they will have once their pending
// orders are done. It forgets the orders that engines report as done, and those
// that timed out or were lost. ok is false while an engine carries out an order that
// this host did not give, because its result is not known until it is done.
func (t *Tracker) WithPending(engines []Engine, now time.Time) (expected []Engine, ok bool) {
	for _, e := range engines {
		p, pending := t.pending[e.Holding.Endpoint]
		if pending && t.finished(e, p, now) {
			delete(t.pending, e.Holding.Endpoint)
			pending = false
		}
		if !pending && e.Changing {
			return nil, false
		}
		if pending {
			e.Changing = true
			e.Holding.Model = p.order.Model
			e.Holding.Version = p.order.ReleaseName()
			e.Role = p.order.Role
			e.Holding.Layers = p.order.Layers
		}
		expected = append(expected, e)
	}
	return expected, true
}

// finished reports whether an order is done, has timed out, or was lost in a
// restart of the engine.
func (t *Tracker) finished(e Engine, p pendingOrder, now time.Time) bool {
	h := e.Holding
	done := !e.Changing && h.Model == p.order.Model && h.Version == p.order.ReleaseName() &&
		h.Layers == p.order.Layers && e.Role == p.order.Role
	return done || h.Incarnation != p.incarnation || now.Sub(p.at) > pendingTimeout
}
