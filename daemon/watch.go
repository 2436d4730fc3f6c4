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

// listReadInterval is the time between two reads of the host list by a host
// that receives its changes by gossip.
const listReadInterval = time.Minute

// refreshHosts reads the platform's host list. In a large fleet only the readers
// do so each time; they gossip the changes to the others, which read the list
// once per listReadInterval.
func (d *Daemon) refreshHosts(context.Context) {
	isReader := d.isReader()
	if !isReader && time.Since(d.listReadAt) < listReadInterval {
		d.directory.MarkListUnchanged(time.Now())
		return
	}
	hosts, tag, err := d.platform.Hosts(d.listETag)
	if err != nil {
		d.listFailure.Store(err.Error())
		return
	}
	d.listFailure.Store("")
	d.listReadAt = time.Now()
	if tag == d.listETag && tag != "" {
		d.directory.MarkListUnchanged(d.listReadAt)
		return
	}
	d.listETag = tag
	d.directory.ReplaceList(hosts, d.listReadAt)
	before := d.listedHosts
	d.listedHosts = lo.SliceToMap(hosts, func(h hostlog.Host) (string, hostlog.Host) { return h.Name, h })
	if isReader && !gossip.AllRead(len(d.directory.View().Entries)) {
		d.gossipHostChanges(before, d.listedHosts)
	}
}

// gossipHostChanges announces the differences between two host lists.
func (d *Daemon) gossipHostChanges(before, now map[string]hostlog.Host) {
	for name, h := range now {
		if old, ok := before[name]; !ok || old.Incarnation != h.Incarnation || old.State != h.State {
			d.gossipHost(hostKeyPrefix+name, hostStamp(h), h)
		}
	}
	for name, h := range before {
		if _, ok := now[name]; !ok {
			d.gossipHost(unlistedKeyPrefix+name, h.Incarnation, h)
		}
	}
}

// hostStamp orders the list entries of one host: by incarnation, and a leaving
// one after a live one.
func hostStamp(h hostlog.Host) int64 {
	if h.State == hostlog.StateLeaving {
		return 2*h.Incarnation + 1
	}
	return 2 * h.Incarnation
}

// announceSelf announces this host to the platform, which keeps it on the host
// list, once it has joined.
func (d *Daemon) announceSelf(context.Context) {
	if !d.joined.Load() {
		return
	}
	if err := d.platform.Announce(d.ownHostRecord()); err != nil {
		d.log.Debug("daemon: announcing this host to the platform failed; the next announcement is due after hosts_every", "cause", err.Error())
	}
}

// statusWorkers is the number of engines that are polled concurrently.
const statusWorkers = 16

// suspectPollFactor is how many times as often as others an engine is polled if
// it is suspected or sends no status, so that its recovery is noticed soon.
const suspectPollFactor = 5

// pollStatuses is one round of status polls. Every suspectPollFactor-th round
// polls all engines; the others poll only those that are suspected or send no
// status.
func (d *Daemon) pollStatuses(ctx context.Context) {
	pollAll := d.pollRound%suspectPollFactor == 0
	d.pollRound++
	hosts := make(chan directory.HostStatus)
	var workers sync.WaitGroup
	for range statusWorkers {
		workers.Go(func() {
			for h := range hosts {
				d.pollStatus(h)
			}
		})
	}
	for _, h := range d.directory.View().Hosts {
		unhealthy := h.Suspected || !h.Reporting
		if h.Role == hostlog.RoleEngine && (pollAll || unhealthy) && ctx.Err() == nil {
			hosts <- h
		}
	}
	close(hosts)
	workers.Wait()
	d.directory.Refresh(time.Now())
}

func (d *Daemon) pollStatus(h directory.HostStatus) {
	s, err := d.engines.Status(h.Address)
	if err != nil {
		if enginehttp.IsNotRun(err) {
			// Nothing accepts connections at its address any more.
			d.directory.Suspect(h.Name, h.Incarnation, time.Now())
		}
		return
	}
	// Subtract this host's own requests from the reported load; planning adds
	// their current number.
	s.Holding.Load = max(s.Holding.Load-d.inflight.Work(h.Name), 0)
	if notice, isNew := d.directory.UpdateStatus(h.Name, s, time.Now()); isNew {
		d.gossipLeave(notice)
	}
}
