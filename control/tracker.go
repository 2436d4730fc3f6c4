package control

import (
	"time"

	"bulrushshed/engine"
)

// forgetAfter is how long an order counts as under way that no status shows.
const forgetAfter = time.Minute

// Tracker remembers the orders of this host that engines have not reported on
// yet. Statuses lag, so without it the next look would give the order again, or
// one that undoes it. It is not safe for concurrent use.
type Tracker struct {
	given map[string]given
}

type given struct {
	order       engine.Order
	incarnation int64
	at          time.Time
}

// NewTracker returns a tracker that knows of no order.
func NewTracker() *Tracker {
	return &Tracker{given: map[string]given{}}
}

// Gave notes that an engine took an order.
func (t *Tracker) Gave(m Move, now time.Time) {
	t.given[m.Endpoint] = given{order: m.Order, incarnation: m.Incarnation, at: now}
}

// Known returns the engines with what they will hold once their orders are
// done. ok is false while one changes by an order that this host did not give:
// what it will hold shows only at the end.
func (t *Tracker) Known(engines []Engine, now time.Time) (known []Engine, ok bool) {
	for _, e := range engines {
		g, pending := t.given[e.Holding.Endpoint]
		if pending && t.over(e, g, now) {
			delete(t.given, e.Holding.Endpoint)
			pending = false
		}
		if !pending && e.Changing {
			return nil, false
		}
		if pending {
			e.Changing = true
			e.Holding.Model = g.order.Model
			e.Holding.Version = g.order.Release()
			e.Role = g.order.Role
			e.Holding.Layers = g.order.Layers
		}
		known = append(known, e)
	}
	return known, true
}

// over reports whether an order is done, or came to nothing.
func (t *Tracker) over(e Engine, g given, now time.Time) bool {
	h := e.Holding
	done := !e.Changing && h.Model == g.order.Model && h.Version == g.order.Release() &&
		h.Layers == g.order.Layers && e.Role == g.order.Role
	return done || h.Incarnation != g.incarnation || now.Sub(g.at) > forgetAfter
}
