package daemon

import (
	"context"
	"time"

	"bulrushshed/control"
	"bulrushshed/hostlog"
	"bulrushshed/rule"
)

const (
	// controlInterval is the time between two looks at what engines hold.
	controlInterval = time.Second
	// maxConcurrentChanges is the number of engines of a model that change at a time.
	maxConcurrentChanges = 2
	// maxOrderInFlight is the longest that an order of an earlier holder of the
	// lease can be under way. Engines that take any order get none from a
	// new holder before.
	maxOrderInFlight = 5 * time.Second
	// engineLostAfter is how long a suspected engine is silent until its layers count
	// as lost. One that failed a request but still reports will be back long
	// before another could load them.
	engineLostAfter = 2500 * time.Millisecond
)

// control gives engines the orders that the rules ask for, while this host
// holds the lease.
func (d *Daemon) control(context.Context) {
	fence, ok := d.follower.Holds(time.Now())
	if !ok {
		return
	}
	if fence != d.fence {
		// What an earlier grant ordered shows in what engines report.
		d.orderTracker = control.NewTracker()
		d.fence = fence
		d.fenceSince = time.Now()
	}
	for _, m := range d.follower.Current().File.Models {
		if !m.AutoPlacement {
			continue
		}
		engines, ok := d.orderTracker.WithPending(d.eligibleEngines(m), time.Now())
		if !ok {
			continue
		}
		for _, move := range control.NextMoves(m, engines, maxConcurrentChanges) {
			d.sendOrder(move)
		}
	}
}

// eligibleEngines returns the engines that an order for a model may concern. One that
// takes any order is left alone until older orders can't be under way.
func (d *Daemon) eligibleEngines(m rule.Model) []control.Engine {
	f := d.follower.Current().File
	settled := time.Since(d.fenceSince) > maxOrderInFlight
	var all []control.Engine
	for _, h := range d.directory.View().Hosts {
		lost := h.Leaving || !h.Reporting || h.Suspected && h.Silent > engineLostAfter
		if h.Role != hostlog.RoleEngine || lost {
			continue
		}
		if h.Holding.Model != "" && h.Holding.Model != m.Name {
			continue
		}
		if !settled && !f.Endpoint(h.Name).Fences {
			return nil
		}
		all = append(all, control.Engine{
			Holding: h.Holding, MaxLayers: h.MaxLayers, Changing: h.Changing,
			Role: h.EngineRole, Standby: f.Endpoint(h.Name).Standby,
		})
	}
	return all
}

// sendOrder sends one sendOrder. The lease is checked right before, since this host
// may have been paused up to here.
func (d *Daemon) sendOrder(m control.Move) {
	fence, ok := d.follower.Holds(time.Now())
	if !ok {
		return
	}
	m.Order.Fence = fence
	err := d.engines.Order(m.Address, m.Order)
	log := d.log.With("endpoint", m.Endpoint, "fence", fence, "version", m.Order.Version,
		"from", m.Order.Layers.From, "to", m.Order.Layers.To, "reason", m.Reason)
	if err != nil {
		log.Warn("control: order not taken", "cause", err.Error())
		return
	}
	d.orderTracker.MarkAccepted(m, time.Now())
	log.Info("control: order given")
}
