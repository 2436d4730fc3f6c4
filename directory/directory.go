package directory

import (
	"sync"
	"sync/atomic"
	"time"

	"bulrushshed/engine"
	"bulrushshed/hostlog"
	"bulrushshed/route"
)

// Options configures a directory.
type Options struct {
	// StatusTTL is how long an engine's status is valid without a new one, and
	// how long a host that is not on the list is kept after a leave notice.
	StatusTTL time.Duration
	// SuspectTTL is how long an endpoint is avoided after it failed a request.
	SuspectTTL time.Duration
	// Costs are the link costs used for planning routes.
	Costs route.Costs
}

// LeaveNotice states that an incarnation of a host accepts no new work.
type LeaveNotice struct {
	Host        string `json:"host"`
	Incarnation int64  `json:"incarnation"`
}

// hostRecord is everything known about one host.
type hostRecord struct {
	host hostlog.Host
	// leaving is the newest incarnation known to be leaving.
	leaving int64
	// status is an engine's last report, and statusAt is when it arrived.
	status   engine.Status
	statusAt time.Time
	// noticeAt is when a leave notice arrived.
	noticeAt time.Time
	// suspectAt is when the endpoint last failed a request, and suspectUntil
	// the earliest time to try it again.
	suspectAt    time.Time
	suspectUntil time.Time
	// failures is the number of failures since the count was last reset.
	failures int
}

// resetFailures clears the failures of an earlier incarnation.
func (r *hostRecord) resetFailures() {
	r.suspectAt = time.Time{}
	r.suspectUntil = time.Time{}
	r.failures = 0
}

// suspected reports whether an endpoint is to be avoided. An engine must also
// have sent a status since its last failure, so that a hanging engine is not
// retried.
func (r *hostRecord) suspected(now time.Time) bool {
	if r.suspectAt.IsZero() {
		return false
	}
	silent := r.host.Role == hostlog.RoleEngine && !r.statusAt.After(r.suspectAt)
	return now.Before(r.suspectUntil) || silent
}

// Directory merges information about hosts from all sources. No other lock is
// acquired while its lock is held.
type Directory struct {
	opts  Options
	flows *flowCache
	view  atomic.Pointer[View]

	mu    sync.Mutex
	hosts map[string]*hostRecord
	// links maps links between endpoints that failed to when they may be used
	// again.
	links map[route.Link]time.Time
	// listed holds the names on the platform's last list.
	listed map[string]bool
}

// New returns an empty directory.
func New(o Options) *Directory {
	d := &Directory{opts: o, flows: &flowCache{flows: map[graphKey]cachedFlow{}}, hosts: map[string]*hostRecord{}, links: map[route.Link]time.Time{}, listed: map[string]bool{}}
	d.view.Store(newView(o, d.flows))
	return d
}

// View returns the newest view, which is immutable.
func (d *Directory) View() *View { return d.view.Load() }

// ReplaceList applies the platform's list of hosts, which lags behind the hosts
// themselves.
func (d *Directory) ReplaceList(hosts []hostlog.Host, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.listed)
	for _, h := range hosts {
		d.listed[h.Name] = true
		d.merge(h)
	}
	d.prune(now)
	d.publish(now)
}

// Update applies one entry of the list as read by another host.
func (d *Directory) Update(h hostlog.Host, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed[h.Name] = true
	d.merge(h)
	d.publish(now)
}

// MarkUnlisted records that the list, as read by another host, no longer contains
// an incarnation of a host.
func (d *Directory) MarkUnlisted(name string, incarnation int64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k, ok := d.hosts[name]
	if !ok || k.host.Incarnation > incarnation {
		return
	}
	delete(d.listed, name)
	if d.prune(now) {
		d.publish(now)
	}
}

// ListUnchanged records that the platform's list is the same as at the last
// read.
func (d *Directory) ListUnchanged(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.prune(now) {
		d.publish(now)
	}
}

// prune removes the hosts that are neither on the list nor reported by any
// other source, and reports whether there were any.
func (d *Directory) prune(now time.Time) (dropped bool) {
	for name, k := range d.hosts {
		expired := now.Sub(k.statusAt) > d.opts.StatusTTL && now.Sub(k.noticeAt) > d.opts.StatusTTL
		if !d.listed[name] && expired {
			delete(d.hosts, name)
			dropped = true
		}
	}
	return dropped
}

// merge keeps the list entry of the newest incarnation.
func (d *Directory) merge(h hostlog.Host) {
	k, ok := d.hosts[h.Name]
	if !ok {
		k = &hostRecord{}
		d.hosts[h.Name] = k
	}
	if h.Incarnation < k.host.Incarnation {
		return
	}
	if h.Incarnation > k.host.Incarnation {
		k.resetFailures()
	}
	k.host = h
	if h.State == hostlog.StateLeaving {
		k.leaving = max(k.leaving, h.Incarnation)
	}
}

// MarkLeaving applies a leave notice, and reports whether it is new.
func (d *Directory) MarkLeaving(n LeaveNotice, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	k, ok := d.hosts[n.Host]
	if !ok {
		// The notice arrived before the list entry.
		k = &hostRecord{}
		d.hosts[n.Host] = k
	}
	if n.Incarnation <= k.leaving {
		return false
	}
	k.leaving = n.Incarnation
	k.noticeAt = now
	d.publish(now)
	return true
}

// UpdateStatus applies an engine's report. If the report is the first to say
// that the engine is leaving, it returns a leave notice and true.
func (d *Directory) UpdateStatus(host string, s engine.Status, now time.Time) (LeaveNotice, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k, ok := d.hosts[host]
	if !ok || s.Holding.Incarnation < k.host.Incarnation {
		return LeaveNotice{}, false
	}
	if s.Holding.Incarnation > k.host.Incarnation {
		k.resetFailures()
	}
	k.host.Incarnation = s.Holding.Incarnation
	k.status = s
	k.statusAt = now
	n := LeaveNotice{Host: host, Incarnation: s.Holding.Incarnation}
	isNew := s.Draining && k.leaving < n.Incarnation
	if isNew {
		k.leaving = n.Incarnation
	}
	return n, isNew
}

// Refresh publishes a view with the statuses received since the last one.
func (d *Directory) Refresh(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.publish(now)
}

const (
	// maxFailures limits how often the time for which a failing endpoint is
	// avoided is doubled.
	maxFailures = 5
	// failureResetTime is the time without a failure after which the failure
	// count restarts.
	failureResetTime = 30 * time.Second
)

// Suspect avoids an endpoint for a while after it failed a request, longer for
// each further failure.
func (d *Directory) Suspect(host string, incarnation int64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k, ok := d.hosts[host]
	if !ok || k.host.Incarnation > incarnation {
		return
	}
	if now.Sub(k.suspectAt) > failureResetTime {
		k.failures = 0
	}
	if !now.Before(k.suspectUntil) {
		// Requests that were in flight together count as one failure.
		k.failures = min(k.failures+1, maxFailures)
	}
	k.suspectAt = now
	k.suspectUntil = now.Add(d.opts.SuspectTTL << (k.failures - 1))
	d.publish(now)
}

// linkSuspectTTL is how long a link between endpoints is avoided after it
// failed.
const linkSuspectTTL = 5 * time.Second

// SuspectLink avoids the link between two endpoints for a while.
func (d *Directory) SuspectLink(l route.Link, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.links[l] = now.Add(linkSuspectTTL)
	d.publish(now)
}

// publish stores a new view. d.mu must be held.
func (d *Directory) publish(now time.Time) {
	v := newView(d.opts, d.flows)
	for _, k := range d.hosts {
		if k.host.Name != "" {
			v.add(k, now, d.opts)
		}
	}
	for l, until := range d.links {
		if !now.Before(until) {
			delete(d.links, l)
			continue
		}
		v.links[l] = true
	}
	v.sort()
	d.view.Store(v)
}
