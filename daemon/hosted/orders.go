package hosted

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"bulrushshed/forward"
	"bulrushshed/ingress"
	"bulrushshed/platform"
	"bulrushshed/ratelimit"
	"bulrushshed/replica"
	"bulrushshed/route"
)

const (
	// orderTimeout bounds one call to an engine: an order or a status report.
	orderTimeout = 800 * time.Millisecond
	// listingTime is how long the replica list may take to show the layers that an engine
	// has loaded. loadTimeFactor is the factor on the time of a load when others run, too.
	listingTime    = 3 * time.Second
	loadTimeFactor = 2
	// defaultOrderTTL is how long an order counts as pending if the time of a load is not
	// known.
	defaultOrderTTL = 8 * time.Second
	// askAgainAfter is how long an engine is left alone whose layers are not known, or that
	// has no room for more.
	askAgainAfter = 1500 * time.Millisecond
)

// pendingOrder is an order whose result the replica list does not show yet.
type pendingOrder struct {
	// layers are those that the engine is to hold, and known is false if that is not known:
	// it has an order of another host, or may or may not have received one.
	layers route.Range
	known  bool
	// loading is set if the engine has accepted the order.
	loading bool
	expires time.Time
}

// orderTable has the pending orders, by the engine's incarnation. It is safe for concurrent
// use.
type orderTable struct {
	mu     sync.Mutex
	orders map[string]pendingOrder
	// started has the orders that engines without layers have started, if not 0.
	started map[string]int64
}

func newOrderTable() *orderTable {
	return &orderTable{orders: map[string]pendingOrder{}, started: map[string]int64{}}
}

// reconcile returns the layers that an engine holds or will hold; known is false if that is
// not known. It drops an order whose result is listed.
func (b *orderTable) reconcile(r replica.Replica, now time.Time) (layers route.Range, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o, pending := b.orders[r.Incarnation()]
	if !pending {
		return r.Layers, true
	}
	if o.loading && r.Layers == o.layers || !now.Before(o.expires) {
		delete(b.orders, r.Incarnation())
		return r.Layers, true
	}
	return o.layers, o.known
}

func (b *orderTable) put(r replica.Replica, o pendingOrder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.orders[r.Incarnation()] = o
}

// postpone leaves an engine as it is for a moment.
func (b *orderTable) postpone(r replica.Replica, now time.Time) {
	b.put(r, pendingOrder{layers: r.Layers, known: true, expires: now.Add(askAgainAfter)})
}

// pending reports whether an engine has a pending order.
func (b *orderTable) pending(r replica.Replica) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.orders[r.Incarnation()]
	return ok
}

// loading returns the number of engines that load layers.
func (b *orderTable) loading() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.orders {
		if o.loading {
			n++
		}
	}
	return n
}

// startedOrders returns the number of orders that a free engine has started.
func (b *orderTable) startedOrders(r replica.Replica) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.started[r.Incarnation()]
}

// setStartedOrders records the number of orders that a free engine has started.
func (b *orderTable) setStartedOrders(r replica.Replica, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started[r.Incarnation()] = n
}

// maxStarted bounds the engines whose numbers of started orders are remembered.
const maxStarted = 4096

// expire drops old orders, including those to engines that are no longer listed.
func (b *orderTable) expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.orders, func(_ string, o pendingOrder) bool { return !now.Before(o.expires) })
	if len(b.started) > maxStarted {
		clear(b.started)
	}
}

// order is an order to an engine to hold layers. The engine rejects it unless it has started
// exactly startedOrders orders before.
type order struct {
	replica       replica.Replica
	layers        route.Range
	fence         int64
	startedOrders int64
	reason        string
}

// errNotPermitted means that an order was not sent, as the engine has reached its limit.
var errNotPermitted = errors.New("engine takes no more requests for a moment")

// submit sends an order and records it. The engine's layers count as not known if it may
// have received the order without accepting it.
func (c *controller) submit(ctx context.Context, m *ingress.Model, o order) {
	err := c.sendOrder(ctx, o)
	r, now := o.replica, time.Now()
	if errors.Is(err, errNotPermitted) {
		c.host.log.Info("control: engine takes no more requests for a moment, order postponed", "replica", r.ID)
		c.orders.postpone(r, now)
		return
	}
	c.host.log.Info("control: order result", "replica", r.ID, "from", o.layers.From, "to", o.layers.To, "held_from", r.Layers.From,
		"held_to", r.Layers.To, "fence", o.fence, "reason", o.reason, "outcome", fmt.Sprint(err))
	if err == nil {
		c.orders.put(r, pendingOrder{layers: o.layers, known: true, loading: true, expires: now.Add(orderTTL(m, o.layers.Len()))})
		return
	}
	var e *platform.Error
	if !errors.As(err, &e) || e.Kind != platform.KindConflict {
		c.orders.put(r, pendingOrder{expires: now.Add(askAgainAfter)})
		return
	}
	c.resolveConflict(ctx, r)
}

// orderTTL returns how long an order to hold n layers counts as pending.
func orderTTL(m *ingress.Model, n int) time.Duration {
	if m.LoadTime <= 0 {
		return defaultOrderTTL
	}
	share := float64(n) / float64(max(m.Layers, 1))
	return listingTime + time.Duration(loadTimeFactor*share*float64(m.LoadTime))
}

// resolveConflict asks an engine that has rejected an order what it does: it may carry out an
// order of the host that held the lease before.
func (c *controller) resolveConflict(ctx context.Context, r replica.Replica) {
	now := time.Now()
	report, ok := c.report(ctx, r)
	if !ok || report.Busy {
		c.orders.put(r, pendingOrder{expires: now.Add(askAgainAfter)})
		return
	}
	c.host.log.Info("control: engine has orders of another host", "replica", r.ID, "orders", report.Orders, "from", report.Layers.From, "to", report.Layers.To)
	if report.Layers.Len() > 0 {
		c.orders.put(r, pendingOrder{layers: report.Layers, known: true, expires: now.Add(listingTime)})
		return
	}
	// The list may still show the result of the order that the engine has started.
	c.orders.setStartedOrders(r, report.Orders)
	c.orders.put(r, pendingOrder{expires: now.Add(listingTime)})
}

// report reads the report of an engine; ok is false if there is none, and the engine is left
// alone for a moment then.
func (c *controller) report(ctx context.Context, r replica.Replica) (report forward.Report, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !c.host.limiter.Acquire(ctx, r.Incarnation(), ratelimit.Need{}).Granted {
		c.host.log.Info("control: engine takes no more requests for a moment, not changed yet", "replica", r.ID)
		c.orders.postpone(r, time.Now())
		return forward.Report{}, false
	}
	report, err := c.host.replicaClient.Report(ctx, r)
	if err != nil {
		c.host.log.Warn("control: reading an engine's report failed, engine not changed", "replica", r.ID, "cause", err.Error())
		c.orders.postpone(r, time.Now())
		return forward.Report{}, false
	}
	return report, true
}

// sendOrder sends one order if this host still holds the lease under the same
// fencing token.
func (c *controller) sendOrder(ctx context.Context, o order) error {
	if current, ok := c.host.group.controlLease(); !ok || current != o.fence {
		return errors.New("control lease lost before the order was sent")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !c.host.limiter.Acquire(ctx, o.replica.Incarnation(), ratelimit.Need{Urgent: true}).Granted {
		return errNotPermitted
	}
	err := c.host.replicaClient.PlaceLayers(ctx, o.replica, o.layers, o.fence, o.startedOrders)
	var e *platform.Error
	if errors.As(err, &e) && e.Kind == platform.KindFenced {
		c.rejectedFence.Store(o.fence)
	}
	return err
}
