package daemon

import (
	"context"
	"time"

	"bulrushshed/control"
	"bulrushshed/hostlog"
	"bulrushshed/rule"
)

const (
	// controlInterval is the time between two comparisons of the engines' layers
	// with the placement that the rules ask for.
	controlInterval = time.Second
	// maxConcurrentChanges is the number of engines per model that may change
	// their layers at the same time.
	maxConcurrentChanges = 2
	// maxOrderInFlight is the longest time for which an order from an earlier
	// lease holder can still be in flight. A new holder gives no orders to
	// engines without fencing before that time has passed.
	maxOrderInFlight = 5 * time.Second
	// engineLostAfter is how long a suspected engine may send no status before
	// its layers count as lost. An engine that failed a request but still
	// reports will recover long before another one could load its layers.
	engineLostAfter = 2500 * time.Millisecond
)

// control is one round of the control loop: if this host holds the lease, it
// sends the engines the orders that the rules require.
func (d *Daemon) control(context.Context) {
	fence, ok := d.follower.Holds(time.Now())
	if !ok {
		return
	}
	if fence != d.fence {
		// Orders sent under an earlier lease are not tracked, because they appear
		// in the engines' statuses.
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

// eligibleEngines returns the available engines that hold layers of m or of no
// model. It returns none while orders from an earlier lease holder may still be
// in flight to one of them that does not check fencing tokens.
func (d *Daemon) eligibleEngines(m rule.Model) []control.Engine {
	f := d.follower.Current().File
	earlierOrdersSettled := time.Since(d.fenceSince) > maxOrderInFlight
	var all []control.Engine
	for _, h := range d.directory.View().Hosts {
		unavailable := h.Leaving || !h.Reporting || h.Suspected && h.Silent > engineLostAfter
		if h.Role != hostlog.RoleEngine || unavailable {
			continue
		}
		if h.Holding.Model != "" && h.Holding.Model != m.Name {
			continue
		}
		if !earlierOrdersSettled && !f.Endpoint(h.Name).Fences {
			return nil
		}
		all = append(all, control.Engine{
			Holding: h.Holding, MaxLayers: h.MaxLayers, Changing: h.Changing,
			Role: h.EngineRole, Standby: f.Endpoint(h.Name).Standby,
		})
	}
	return all
}

// sendOrder sends one order. It checks the lease immediately before, because
// this host may have been paused since the last check.
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
		log.Warn("control: engine did not accept the order; the next round decides again", "cause", err.Error())
		return
	}
	d.orderTracker.MarkAccepted(m, time.Now())
	log.Info("control: engine accepted the order")
}
