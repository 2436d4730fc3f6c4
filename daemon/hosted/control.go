package hosted

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

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
	// arrivals tells when the fleet of each service has stopped growing.
	arrivals map[string]*arrivals
	// fenced is the fencing number that an engine refused; no order goes out
	// under it any more.
	fenced int64
}

type given struct {
	layers route.Range
	at     time.Time
}

func newController(h *Host) *controller {
	return &controller{host: h, given: map[string]given{}, arrivals: map[string]*arrivals{}}
}

// arrivals is when a service's engines were last seen to become more.
type arrivals struct {
	most int
	at   time.Time
}

// settled reports whether a fleet that serves nothing yet has stopped growing.
// Engines that are placed one by one, as they come, take too many layers each.
func (c *controller) settled(service string, engines int, now time.Time) bool {
	a, ok := c.arrivals[service]
	if !ok {
		a = &arrivals{at: now}
		c.arrivals[service] = a
	}
	if engines > a.most {
		a.most = engines
		a.at = now
	}
	return now.Sub(a.at) >= settleTime
}

func engineKey(r replica.Replica) string { return fmt.Sprintf("%s/%d", r.ID, r.Started) }

// turn places free engines of all models.
func (c *controller) turn(ctx context.Context) {
	t := c.host.table.Load()
	fence, ok := c.host.group.holds()
	if t == nil || !ok || fence <= c.fenced {
		return
	}
	v := c.host.replicas.View()
	t.Services(func(s *ingress.Service) {
		if s.Model != nil {
			c.place(ctx, s, v.Of(s.Name), fence)
		}
	})
}

// place gives the free engines of one model what they are to hold.
func (c *controller) place(ctx context.Context, s *ingress.Service, engines []replica.Replica, fence int64) {
	now := time.Now()
	byID := map[string]replica.Replica{}
	var sites []control.Site
	free := 0
	for _, r := range engines {
		acc, ok := s.Model.Accelerators[r.Accelerator]
		if !ok {
			continue
		}
		site := control.Site{ID: r.ID, FailureDomain: r.FailureDomain, Accelerator: acc, Layers: r.Layers}
		if g, ok := c.given[engineKey(r)]; ok {
			if r.Layers == g.layers || now.Sub(g.at) > orderLife {
				delete(c.given, engineKey(r))
			} else {
				site.Layers = g.layers
			}
		}
		if site.Layers.Len() <= 0 {
			free++
		}
		sites = append(sites, site)
		byID[r.ID] = r
	}
	if !c.settled(s.Name, len(sites), now) && !control.Whole(s.Model, sites) || free == 0 {
		return
	}
	c.order(ctx, control.Cover(s.Model, sites), byID, fence)
}

// order sends the orders at once, and notes those that were taken.
func (c *controller) order(ctx context.Context, holds []control.Hold, byID map[string]replica.Replica, fence int64) {
	errs := make([]error, len(holds))
	var wg sync.WaitGroup
	for i, hold := range holds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = c.hold(ctx, byID[hold.ID], hold.Layers, fence)
		}()
	}
	wg.Wait()
	now := time.Now()
	for i, hold := range holds {
		r := byID[hold.ID]
		c.host.log.Info("control: ordered", "replica", r.ID, "from", hold.Layers.From, "to", hold.Layers.To,
			"fence", fence, "outcome", fmt.Sprint(errs[i]))
		var e *platform.Error
		if errors.As(errs[i], &e) && e.Kind == platform.KindFenced {
			c.fenced = fence
		}
		c.given[engineKey(r)] = given{layers: hold.Layers, at: now}
	}
}

// hold gives one order, if this host still may.
func (c *controller) hold(ctx context.Context, r replica.Replica, layers route.Range, fence int64) error {
	if now, ok := c.host.group.holds(); !ok || now != fence {
		return errors.New("lease lost")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.host.engines.Hold(ctx, r, layers, fence, 0)
}
