package hosted

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"bulrushshed/control"
	"bulrushshed/ingress"
	"bulrushshed/replica"
)

const (
	// controlInterval is the interval of the control loop.
	controlInterval = 250 * time.Millisecond
	// settleTime is how long a fleet that does not serve yet must stop growing
	// before layers are assigned to its engines.
	settleTime = 700 * time.Millisecond
	// defaultConcurrentLoads is the number of engines that may load layers at a time if the
	// configuration does not say it.
	defaultConcurrentLoads = 4
	// maxRepairsPerRun bounds the changes that one run of the control loop looks for, and so
	// its processor time on a small host.
	maxRepairsPerRun = 8
	// maxExtendedUse is the utilization of an engine's KV cache up to which it may load
	// further layers, which leave less room.
	maxExtendedUse = 0.8
)

// controller assigns layers to engines while this host holds the control lease.
// Only the control loop uses it.
type controller struct {
	host   *Host
	orders *orderTable
	// fleets holds the state of each service's engines. It is cleared when this
	// host does not hold the lease.
	fleets map[string]*fleetState
	// rejectedFence is the fencing token that an engine last rejected. No more
	// orders are sent under it or an older one.
	rejectedFence atomic.Int64
}

func newController(h *Host) *controller {
	return &controller{host: h, orders: newOrderTable(), fleets: map[string]*fleetState{}}
}

// fleetState tracks a service's engines while this host holds the lease.
type fleetState struct {
	// maxSize is the largest number of engines seen, and grewAt when it was
	// reached.
	maxSize int
	grewAt  time.Time
	// repairTimer delays repairs for which engines give up layers, and extensionTimer those
	// for which they only load more.
	repairTimer    control.RepairTimer
	extensionTimer control.RepairTimer
}

func (c *controller) getOrCreateFleet(service string, now time.Time) *fleetState {
	f, ok := c.fleets[service]
	if !ok {
		f = &fleetState{grewAt: now, extensionTimer: control.RepairTimer{Delay: control.ExtensionDelay}}
		c.fleets[service] = f
	}
	return f
}

// updateSettled records the number of engines, and reports whether it has not
// grown for settleTime. Without this delay, engines that register one by one at
// startup would each be assigned too many layers.
func (f *fleetState) updateSettled(engines int, now time.Time) bool {
	if engines > f.maxSize {
		f.maxSize = engines
		f.grewAt = now
	}
	return now.Sub(f.grewAt) >= settleTime
}

// placeAll assigns layers to the free engines of all models, which hold none,
// and moves engines to layers that too few engines hold. Unless this host holds
// the lease, it only clears the state of the fleets.
func (c *controller) placeAll(ctx context.Context) {
	t := c.host.table.Load()
	fence, ok := c.host.group.controlLease()
	if t == nil || !ok || fence <= c.rejectedFence.Load() {
		clear(c.fleets)
		return
	}
	c.orders.expire(time.Now())
	v := c.host.replicas.View()
	t.EachService(func(s *ingress.Service) {
		if s.Model != nil {
			c.placeService(ctx, s, v, fence)
		}
	})
}

// fleet is the state of a service's engines in one run of the control loop.
type fleet struct {
	service *ingress.Service
	// placements has the engines that can be used, with the layers of their pending orders,
	// and byID their entries.
	placements []control.Placement
	byID       map[string]replica.Replica
	// unassigned is the number of engines without layers.
	unassigned int
}

// placeService assigns layers to the free engines of one model. If it has
// assigned none, it changes the layers of engines in service where layers are short.
// fence is the fencing token of the lease, here and in the functions below.
func (c *controller) placeService(ctx context.Context, s *ingress.Service, v *replica.View, fence int64) {
	now := time.Now()
	fl := c.newFleet(s, v, now)
	state := c.getOrCreateFleet(s.Name, now)
	if !state.updateSettled(len(fl.placements), now) && !control.CoversAll(s.Model, fl.placements) {
		return
	}
	if fl.unassigned > 0 {
		// Engines that are too small for a single layer stay free.
		if assignments := control.Cover(s.Model, fl.placements); len(assignments) > 0 {
			c.placeFree(ctx, fl, assignments, fence)
			return
		}
	}
	c.repair(ctx, fl, c.dueRepairs(fl, state, v, now), fence)
}

// newFleet describes the engines of a service for placement.
func (c *controller) newFleet(s *ingress.Service, v *replica.View, now time.Time) fleet {
	fl := fleet{service: s, byID: map[string]replica.Replica{}}
	for _, r := range v.ByService(s.Name) {
		engine, ok := c.reconcilePlacement(s.Model, r, now)
		if !ok {
			continue
		}
		if engine.Layers.Len() <= 0 {
			fl.unassigned++
		}
		fl.placements = append(fl.placements, engine)
		fl.byID[r.ID] = r
	}
	return fl
}

// dueRepairs returns the changes of engines in service that are due. It looks for all of them
// only then, as each takes a search through the whole fleet.
func (c *controller) dueRepairs(fl fleet, state *fleetState, v *replica.View, now time.Time) []control.Assignment {
	m, lastLeave := fl.service.Model, v.LastRemoved(fl.service.Name)
	find := func(changes control.Changes, limit int) []control.Assignment {
		movable := func(id string) bool { return !c.orders.pending(fl.byID[id]) }
		return control.Repairs(m, fl.placements, movable, changes, limit)
	}
	limit := min(cmp.Or(m.ConcurrentLoads, defaultConcurrentLoads)-c.orders.loading(), maxRepairsPerRun)
	needed := len(find(control.AnyChange, 1)) > 0
	due := state.repairTimer.Observe(needed, lastLeave, now)
	switch {
	case !needed:
		state.extensionTimer.Observe(false, lastLeave, now)
		return nil
	case due || control.PlannedLoss(m, fl.placements, toPlacements(m, v.Draining(fl.service.Name))):
		return find(control.AnyChange, limit)
	case state.extensionTimer.Observe(len(find(control.Extensions, 1)) > 0, lastLeave, now):
		return find(control.Extensions, limit)
	}
	return nil
}

// toPlacements describes engines for placement, with the layers that they hold.
func toPlacements(m *ingress.Model, all []replica.Replica) []control.Placement {
	return lo.Map(all, func(r replica.Replica, _ int) control.Placement {
		return control.Placement{ID: r.ID, FailureDomain: r.FailureDomain, Accelerator: m.Accelerators[r.Accelerator], Layers: r.Layers}
	})
}

// reconcilePlacement describes an engine for placement, with the layers of its
// pending order if there is one. ok is false for an engine that must not
// be used: its accelerator is unknown, the planner counts it as down, or the layers that it
// will hold are not known.
func (c *controller) reconcilePlacement(m *ingress.Model, r replica.Replica, now time.Time) (p control.Placement, ok bool) {
	acc, ok := m.Accelerators[r.Accelerator]
	if !ok || c.host.planner.Down(r.Address, now) {
		return control.Placement{}, false
	}
	layers, known := c.orders.reconcile(r, now)
	return control.Placement{ID: r.ID, FailureDomain: r.FailureDomain, Accelerator: acc, Layers: layers}, known
}

// placeFree orders free engines to load their first layers.
func (c *controller) placeFree(ctx context.Context, fl fleet, assignments []control.Assignment, fence int64) {
	c.forEach(assignments, func(a control.Assignment) {
		r := fl.byID[a.ID]
		c.submit(ctx, fl.service.Model, order{replica: r, layers: a.Layers, fence: fence, startedOrders: c.orders.startedOrders(r), reason: "free"})
	})
}

// repair orders engines in service to load other layers, unless they are busy or have no
// room for them now.
func (c *controller) repair(ctx context.Context, fl fleet, assignments []control.Assignment, fence int64) {
	m := fl.service.Model
	c.forEach(assignments, func(a control.Assignment) {
		r := fl.byID[a.ID]
		report, ok := c.report(ctx, r)
		if !ok || report.Busy {
			return
		}
		room := maxExtendedUse * m.KVCells(m.Accelerators[r.Accelerator], a.Layers.Len())
		if a.Layers.Covers(r.Layers) && report.CellsUsed > room {
			c.host.log.Info("control: engine has no room for more layers now", "replica", r.ID, "used", report.CellsUsed, "room", room)
			c.orders.postpone(r, time.Now())
			return
		}
		c.submit(ctx, m, order{replica: r, layers: a.Layers, fence: fence, startedOrders: report.Orders, reason: "repair"})
	})
}

// forEach calls f for all assignments concurrently.
func (c *controller) forEach(assignments []control.Assignment, f func(a control.Assignment)) {
	var wg sync.WaitGroup
	for _, a := range assignments {
		wg.Go(func() { f(a) })
	}
	wg.Wait()
}
