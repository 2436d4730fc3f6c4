package hosted

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/samber/lo"

	"bulrushshed/control"
	"bulrushshed/ingress"
	"bulrushshed/platform"
	"bulrushshed/ratelimit"
	"bulrushshed/replica"
	"bulrushshed/route"
)

const (
	// controlInterval is the interval of the control loop.
	controlInterval = 250 * time.Millisecond
	// orderTimeout bounds one call to an engine: an order or a status report.
	orderTimeout = 800 * time.Millisecond
	// settleTime is how long a fleet that does not serve yet must stop growing
	// before layers are assigned to its engines.
	settleTime = 700 * time.Millisecond
	// pendingOrderTTL is how long an order to a listed engine counts as pending if
	// the replica list does not show its result.
	pendingOrderTTL = 8 * time.Second
)

// controller assigns layers to engines while this host holds the control lease.
// Only the control loop uses it.
type controller struct {
	host *Host
	// pending holds the orders whose result the replica list does not show yet, by
	// the engine's incarnation.
	pending map[string]pendingOrder
	// fleets holds the state of each service's engines. It is cleared when this
	// host does not hold the lease.
	fleets map[string]*fleetState
	// rejectedFence is the fencing token that an engine last rejected. No more
	// orders are sent under it or an older one.
	rejectedFence int64
}

// errNotPermitted means that an order was not sent, as the engine has reached its limit.
var errNotPermitted = errors.New("engine takes no more requests for a moment")

type pendingOrder struct {
	layers route.Range
	sentAt time.Time
}

func newController(h *Host) *controller {
	return &controller{host: h, pending: map[string]pendingOrder{}, fleets: map[string]*fleetState{}}
}

// fleetState tracks a service's engines while this host holds the lease.
type fleetState struct {
	// maxSize is the largest number of engines seen, and grewAt when it was
	// reached.
	maxSize int
	grewAt  time.Time
	// repairTimer delays repairs of layers that are missing in a failure domain.
	repairTimer control.RepairTimer
}

func (c *controller) getOrCreateFleet(service string, now time.Time) *fleetState {
	f, ok := c.fleets[service]
	if !ok {
		f = &fleetState{grewAt: now}
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
	if t == nil || !ok || fence <= c.rejectedFence {
		clear(c.fleets)
		return
	}
	c.expirePending(time.Now())
	v := c.host.replicas.View()
	t.EachService(func(s *ingress.Service) {
		if s.Model != nil {
			c.placeService(ctx, s, v, fence)
		}
	})
}

// expirePending drops old orders, including those to engines that are no longer
// listed.
func (c *controller) expirePending(now time.Time) {
	maps.DeleteFunc(c.pending, func(_ string, o pendingOrder) bool { return now.Sub(o.sentAt) > 2*pendingOrderTTL })
}

// placeService assigns layers to the free engines of one model. If it has
// assigned none, it moves at most one engine that holds layers to missing ones.
// fence is the fencing token of the lease, here and in the functions below.
func (c *controller) placeService(ctx context.Context, s *ingress.Service, v *replica.View, fence int64) {
	now := time.Now()
	byID := map[string]replica.Replica{}
	var placements []control.Placement
	unassigned := 0
	for _, r := range v.ByService(s.Name) {
		engine, ok := c.reconcilePlacement(s.Model, r, now)
		if !ok {
			continue
		}
		if engine.Layers.Len() <= 0 {
			unassigned++
		}
		placements = append(placements, engine)
		byID[r.ID] = r
	}
	f := c.getOrCreateFleet(s.Name, now)
	if !f.updateSettled(len(placements), now) && !control.CoversAll(s.Model, placements) {
		return
	}
	if unassigned > 0 {
		// Engines that are too small for a single layer stay free.
		if assignments := control.Cover(s.Model, placements); len(assignments) > 0 {
			c.sendOrders(ctx, assignments, byID, fence)
			return
		}
	}
	assignment, ok := control.Repair(s.Model, placements, func(id string) bool {
		_, pending := c.pending[byID[id].Incarnation()]
		return !pending
	})
	due := f.repairTimer.Observe(ok, v.LastRemoved(s.Name), now)
	if !ok {
		return
	}
	if due || control.PlannedLoss(s.Model, placements, toPlacements(s.Model, v.Draining(s.Name))) {
		c.repair(ctx, byID[assignment.ID], assignment.Layers, fence)
	}
}

// toPlacements describes engines for placement, with the layers that they hold.
func toPlacements(m *ingress.Model, all []replica.Replica) []control.Placement {
	return lo.Map(all, func(r replica.Replica, _ int) control.Placement {
		return control.Placement{ID: r.ID, FailureDomain: r.FailureDomain, Accelerator: m.Accelerators[r.Accelerator], Layers: r.Layers}
	})
}

// reconcilePlacement describes an engine for placement, with the layers of its
// pending order if there is one. It first drops an order whose result is listed
// or that has been pending for too long. ok is false for an engine that must not
// be used: its accelerator is unknown, or the planner counts it as down.
func (c *controller) reconcilePlacement(m *ingress.Model, r replica.Replica, now time.Time) (p control.Placement, ok bool) {
	acc, ok := m.Accelerators[r.Accelerator]
	if !ok || c.host.planner.Down(r.Address, now) {
		return control.Placement{}, false
	}
	p = control.Placement{ID: r.ID, FailureDomain: r.FailureDomain, Accelerator: acc, Layers: r.Layers}
	order, pending := c.pending[r.Incarnation()]
	switch {
	case !pending:
	case r.Layers == order.layers || now.Sub(order.sentAt) > pendingOrderTTL:
		delete(c.pending, r.Incarnation())
	default:
		p.Layers = order.layers
	}
	return p, true
}

// repair moves one engine to layers that are missing in its failure domain,
// unless it is busy. Engines are moved one at a time, so that the next run of
// the loop takes each move into account.
func (c *controller) repair(ctx context.Context, r replica.Replica, layers route.Range, fence int64) {
	reportCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !c.host.limiter.Acquire(reportCtx, r.Incarnation(), ratelimit.Need{}).Granted {
		c.host.log.Info("control: engine takes no more requests for a moment, not moved yet", "replica", r.ID)
		return
	}
	report, err := c.host.replicaClient.Report(reportCtx, r)
	if err != nil {
		c.host.log.Warn("control: reading an engine's report failed, engine not moved", "replica", r.ID, "cause", err.Error())
		c.pending[r.Incarnation()] = pendingOrder{layers: r.Layers, sentAt: time.Now()}
		return
	}
	if report.Busy {
		return
	}
	err = c.sendOrder(ctx, r, layers, fence, report.Orders)
	c.recordOrder(r, layers, fence, "repair", err)
}

// sendOrders sends the orders concurrently and records them.
func (c *controller) sendOrders(ctx context.Context, assignments []control.Assignment, byID map[string]replica.Replica, fence int64) {
	errs := make([]error, len(assignments))
	var wg sync.WaitGroup
	for i, assignment := range assignments {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = c.sendOrder(ctx, byID[assignment.ID], assignment.Layers, fence, 0)
		}()
	}
	wg.Wait()
	for i, assignment := range assignments {
		c.recordOrder(byID[assignment.ID], assignment.Layers, fence, "free", errs[i])
	}
}

// recordOrder logs an order and keeps it as pending until the replica list
// shows its result. It also keeps a failed one, because the engine may have
// received it and may still carry it out.
func (c *controller) recordOrder(r replica.Replica, layers route.Range, fence int64, reason string, err error) {
	if errors.Is(err, errNotPermitted) {
		c.host.log.Info("control: engine takes no more requests for a moment, order postponed", "replica", r.ID)
		return
	}
	c.host.log.Info("control: order result", "replica", r.ID, "from", layers.From, "to", layers.To, "held_from", r.Layers.From,
		"held_to", r.Layers.To, "fence", fence, "reason", reason, "outcome", fmt.Sprint(err))
	var e *platform.Error
	if errors.As(err, &e) && e.Kind == platform.KindFenced {
		c.rejectedFence = fence
	}
	c.pending[r.Incarnation()] = pendingOrder{layers: layers, sentAt: time.Now()}
}

// sendOrder sends one order if this host still holds the lease under the same
// fencing token. The engine rejects it unless it has started exactly
// startedOrders orders before.
func (c *controller) sendOrder(ctx context.Context, r replica.Replica, layers route.Range, fence, startedOrders int64) error {
	if current, ok := c.host.group.controlLease(); !ok || current != fence {
		return errors.New("control lease lost before the order was sent")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !c.host.limiter.Acquire(ctx, r.Incarnation(), ratelimit.Need{Urgent: true}).Granted {
		return errNotPermitted
	}
	return c.host.replicaClient.PlaceLayers(ctx, r, layers, fence, startedOrders)
}
