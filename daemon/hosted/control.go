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
	"bulrushshed/replica"
	"bulrushshed/route"
)

const (
	// controlEvery is the time between two looks at the engines.
	controlEvery = 250 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = 800 * time.Millisecond
	// settleTime is how long a fleet that serves nothing must not have grown
	// before its engines are placed.
	settleTime = 700 * time.Millisecond
	// orderLife is how long an order that no list shows counts as under way.
	orderLife = 8 * time.Second
)

// controller gives engines their layers while this host holds the lease. Only
// its loop uses it.
type controller struct {
	host *Host
	// given are the orders that the list does not show yet, by the engine's
	// ID and start.
	given map[string]given
	// fleets are the engines of each service, since this host holds the lease.
	fleets map[string]*fleet
	// fenced is the fencing number that an engine refused; no order goes out
	// under it any more.
	fenced int64
}

type given struct {
	layers route.Range
	at     time.Time
}

func newController(h *Host) *controller {
	return &controller{host: h, given: map[string]given{}, fleets: map[string]*fleet{}}
}

// fleet is what the holder of the lease has seen of a service's engines.
type fleet struct {
	// most is the greatest number of them, and grown when it was reached.
	most  int
	grown time.Time
	// patience is for layers that are missing in some failure domain.
	patience control.RepairTimer
}

func (c *controller) fleet(service string, now time.Time) *fleet {
	f, ok := c.fleets[service]
	if !ok {
		f = &fleet{grown: now}
		c.fleets[service] = f
	}
	return f
}

// settled reports whether a fleet that serves nothing yet has stopped growing.
// Engines that are placed one by one, as they come, take too many layers each.
func (f *fleet) settled(engines int, now time.Time) bool {
	if engines > f.most {
		f.most = engines
		f.grown = now
	}
	return now.Sub(f.grown) >= settleTime
}

func engineKey(r replica.Replica) string { return fmt.Sprintf("%s/%d", r.ID, r.Started) }

// turn places free engines of all models.
func (c *controller) turn(ctx context.Context) {
	t := c.host.table.Load()
	fence, ok := c.host.group.holds()
	if t == nil || !ok || fence <= c.fenced {
		clear(c.fleets)
		return
	}
	c.forget(time.Now())
	v := c.host.replicas.View()
	t.EachService(func(s *ingress.Service) {
		if s.Model != nil {
			c.place(ctx, s, v, fence)
		}
	})
}

// forget drops orders to engines that are no longer listed.
func (c *controller) forget(now time.Time) {
	maps.DeleteFunc(c.given, func(_ string, g given) bool { return now.Sub(g.at) > 2*orderLife })
}

// place gives the free engines of one model what they are to hold, or moves one
// to layers that nobody holds.
func (c *controller) place(ctx context.Context, s *ingress.Service, v *replica.View, fence int64) {
	now := time.Now()
	byID := map[string]replica.Replica{}
	var sites []control.Placement
	free := 0
	for _, r := range v.ByService(s.Name) {
		site, ok := c.site(s.Model, r, now)
		if !ok {
			continue
		}
		if site.Layers.Len() <= 0 {
			free++
		}
		sites = append(sites, site)
		byID[r.ID] = r
	}
	f := c.fleet(s.Name, now)
	if !f.settled(len(sites), now) && !control.CoversAll(s.Model, sites) {
		return
	}
	if free > 0 {
		// Engines that are too small for a layer stay free.
		if holds := control.Cover(s.Model, sites); len(holds) > 0 {
			c.order(ctx, holds, byID, fence)
			return
		}
	}
	hold, ok := control.Repair(s.Model, sites, func(id string) bool {
		_, pending := c.given[engineKey(byID[id])]
		return !pending
	})
	due := f.patience.Due(ok, v.LastRemoved(s.Name), now)
	if !ok {
		return
	}
	if due || control.PlannedLoss(s.Model, sites, drainingSites(s.Model, v.Draining(s.Name))) {
		c.repair(ctx, byID[hold.ID], hold.Layers, fence)
	}
}

func drainingSites(m *ingress.Model, all []replica.Replica) []control.Placement {
	return lo.Map(all, func(r replica.Replica, _ int) control.Placement {
		return control.Placement{ID: r.ID, FailureDomain: r.FailureDomain, Accelerator: m.Accelerators[r.Accelerator], Layers: r.Layers}
	})
}

// site is what the plan knows of an engine; ok is false for one that is to be
// left alone.
func (c *controller) site(m *ingress.Model, r replica.Replica, now time.Time) (s control.Placement, ok bool) {
	acc, ok := m.Accelerators[r.Accelerator]
	if !ok || c.host.planner.Down(r.Address, now) {
		return control.Placement{}, false
	}
	s = control.Placement{ID: r.ID, FailureDomain: r.FailureDomain, Accelerator: acc, Layers: r.Layers}
	g, pending := c.given[engineKey(r)]
	switch {
	case !pending:
	case r.Layers == g.layers || now.Sub(g.at) > orderLife:
		delete(c.given, engineKey(r))
	default:
		s.Layers = g.layers
	}
	return s, true
}

// repair moves one engine to layers that nobody in its failure domain holds. One
// is moved at a time, so that the next look knows of it.
func (c *controller) repair(ctx context.Context, r replica.Replica, layers route.Range, fence int64) {
	ask, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := c.host.engines.Report(ask, r)
	if err != nil {
		c.host.log.Warn("control: engine not asked", "replica", r.ID, "cause", err.Error())
		c.given[engineKey(r)] = given{layers: r.Layers, at: time.Now()}
		return
	}
	if report.Busy {
		return
	}
	err = c.hold(ctx, r, layers, fence, report.Orders)
	c.note(r, layers, fence, "repair", err)
}

// order sends the orders at once, and notes those that were taken.
func (c *controller) order(ctx context.Context, holds []control.Assignment, byID map[string]replica.Replica, fence int64) {
	errs := make([]error, len(holds))
	var wg sync.WaitGroup
	for i, hold := range holds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = c.hold(ctx, byID[hold.ID], hold.Layers, fence, 0)
		}()
	}
	wg.Wait()
	for i, hold := range holds {
		c.note(byID[hold.ID], hold.Layers, fence, "free", errs[i])
	}
}

// note logs an order, and remembers it until the list shows it. A failed one is
// remembered too: it may yet be carried out.
func (c *controller) note(r replica.Replica, layers route.Range, fence int64, reason string, err error) {
	c.host.log.Info("control: ordered", "replica", r.ID, "from", layers.From, "to", layers.To, "held_from", r.Layers.From,
		"held_to", r.Layers.To, "fence", fence, "reason", reason, "outcome", fmt.Sprint(err))
	var e *platform.Error
	if errors.As(err, &e) && e.Kind == platform.KindFenced {
		c.fenced = fence
	}
	c.given[engineKey(r)] = given{layers: layers, at: time.Now()}
}

// hold gives one order, if this host still may.
func (c *controller) hold(ctx context.Context, r replica.Replica, layers route.Range, fence, orders int64) error {
	if now, ok := c.host.group.holds(); !ok || now != fence {
		return errors.New("lease lost")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.host.engines.PlaceLayers(ctx, r, layers, fence, orders)
}
