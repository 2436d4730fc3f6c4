package daemon

import (
	"context"
	"sync"
	"time"

	"bulrushshed/directory"
	"bulrushshed/enginehttp"
	"bulrushshed/platform"
)

// readHosts takes the platform's list.
func (d *Daemon) readHosts(context.Context) {
	hosts, tag, err := d.platform.Hosts(d.listTag)
	if err != nil {
		d.listFailure.Store(err.Error())
		return
	}
	d.listFailure.Store("")
	if tag == d.listTag && tag != "" {
		d.directory.Unchanged(time.Now())
		return
	}
	d.listTag = tag
	d.directory.List(hosts, time.Now())
}

// announce keeps this host on the platform's list.
func (d *Daemon) announce(context.Context) {
	if !d.joined.Load() {
		return
	}
	if err := d.platform.Announce(d.host()); err != nil {
		d.log.Debug("daemon: not announced", "cause", err.Error())
	}
}

// statusWorkers is the number of engines that are asked at a time.
const statusWorkers = 16

// hurry is how many times as often as others an engine is asked that is
// suspected or sends no status, so that its return is seen soon.
const hurry = 5

// readStatuses asks all engines for their status, but on most turns only those
// that can't be used now.
func (d *Daemon) readStatuses(ctx context.Context) {
	all := d.turn%hurry == 0
	d.turn++
	hosts := make(chan directory.Standing)
	var workers sync.WaitGroup
	for range statusWorkers {
		workers.Go(func() {
			for h := range hosts {
				d.readStatus(h)
			}
		})
	}
	for _, h := range d.directory.View().Hosts {
		lost := h.Suspected || !h.Reporting
		if h.Role == platform.RoleEngine && (all || lost) && ctx.Err() == nil {
			hosts <- h
		}
	}
	close(hosts)
	workers.Wait()
	d.directory.Refresh(time.Now())
}

func (d *Daemon) readStatus(h directory.Standing) {
	s, err := d.engines.Status(h.Address)
	if err != nil {
		if enginehttp.IsNotRun(err) {
			// Nothing listens there any more.
			d.directory.Suspect(h.Name, h.Incarnation, time.Now())
		}
		return
	}
	// What this host has there counts as of now, not as of the report.
	s.Holding.Load = max(s.Holding.Load-d.inflight.Of(h.Name), 0)
	if news, isNew := d.directory.Status(h.Name, s, time.Now()); isNew {
		d.spreadLeave(news)
	}
}
