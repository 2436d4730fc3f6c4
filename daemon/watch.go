package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"bulrushshed/directory"
	"bulrushshed/enginehttp"
	"bulrushshed/gossip"
	"bulrushshed/hostlog"
)

// listEvery is the time between two reads of the list by a host that hears of
// its changes from others.
const listEvery = time.Minute

// readHosts takes the platform's list. In a large fleet a few hosts do, and tell
// the others what changed.
func (d *Daemon) readHosts(context.Context) {
	reads := d.reads()
	if !reads && time.Since(d.listAt) < listEvery {
		d.directory.ListUnchanged(time.Now())
		return
	}
	hosts, tag, err := d.platform.Hosts(d.listTag)
	if err != nil {
		d.listFailure.Store(err.Error())
		return
	}
	d.listFailure.Store("")
	d.listAt = time.Now()
	if tag == d.listTag && tag != "" {
		d.directory.ListUnchanged(d.listAt)
		return
	}
	d.listTag = tag
	d.directory.ReplaceList(hosts, d.listAt)
	before := d.lines
	d.lines = lo.SliceToMap(hosts, func(h hostlog.Host) (string, hostlog.Host) { return h.Name, h })
	if reads && !gossip.AllRead(len(d.directory.View().Entries)) {
		d.spreadHosts(before, d.lines)
	}
}

// spreadHosts passes on how a list differs from the one before.
func (d *Daemon) spreadHosts(before, now map[string]hostlog.Host) {
	for name, h := range now {
		if old, ok := before[name]; !ok || old.Incarnation != h.Incarnation || old.State != h.State {
			d.putItem(itemHosts+name, lineStamp(h), h)
		}
	}
	for name, h := range before {
		if _, ok := now[name]; !ok {
			d.putItem(itemGone+name, h.Incarnation, h)
		}
	}
}

// lineStamp orders the lines of one host: by incarnation, and a leaving one
// behind a live one.
func lineStamp(h hostlog.Host) int64 {
	if h.State == hostlog.StateLeaving {
		return 2*h.Incarnation + 1
	}
	return 2 * h.Incarnation
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
	hosts := make(chan directory.HostStatus)
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
		if h.Role == hostlog.RoleEngine && (all || lost) && ctx.Err() == nil {
			hosts <- h
		}
	}
	close(hosts)
	workers.Wait()
	d.directory.Refresh(time.Now())
}

func (d *Daemon) readStatus(h directory.HostStatus) {
	s, err := d.engines.Status(h.Address)
	if err != nil {
		if enginehttp.IsNotRun(err) {
			// Nothing listens there any more.
			d.directory.Suspect(h.Name, h.Incarnation, time.Now())
		}
		return
	}
	// What this host has there counts as of now, not as of the report.
	s.Holding.Load = max(s.Holding.Load-d.inflight.Work(h.Name), 0)
	if news, isNew := d.directory.UpdateStatus(h.Name, s, time.Now()); isNew {
		d.spreadLeave(news)
	}
}
