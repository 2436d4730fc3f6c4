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
	// how long a host that is not on the platform's list is kept after a leave
	// notice.
	StatusTTL time.Duration
	// SuspectTTL is how long an endpoint is avoided after it failed a request.
	SuspectTTL time.Duration
	// Costs are the link costs used for planning routes.
	Costs route.Costs
}

// LeaveNotice states that an incarnation of a host is leaving: it accepts no
// new work.
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
	// suspectLinks holds, for each link between endpoints that failed, when it
	// may be used again.
	suspectLinks map[route.Link]time.Time
	// listed holds the names on the platform's last list.
	listed map[string]bool
}

// New returns an empty directory.
func New(o Options) *Directory {
	d := &Directory{opts: o, flows: &flowCache{flows: map[graphKey]cachedFlow{}}, hosts: map[string]*hostRecord{}, suspectLinks: map[route.Link]time.Time{}, listed: map[string]bool{}}
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

// UpdateHost applies the platform's description of one host, as read from the
// list by another entry host.
func (d *Directory) UpdateHost(h hostlog.Host, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed[h.Name] = true
	d.merge(h)
	d.publish(now)
}

// MarkUnlisted records that the platform's list, as read by another entry host, no
// longer contains an incarnation of a host.
func (d *Directory) MarkUnlisted(name string, incarnation int64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.hosts[name]
	if !ok || r.host.Incarnation > incarnation {
		return
	}
	delete(d.listed, name)
	if d.prune(now) {
		d.publish(now)
	}
}

// MarkListUnchanged records that the platform's list is the same as at the last
// read.
func (d *Directory) MarkListUnchanged(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.prune(now) {
		d.publish(now)
	}
}

// prune removes the hosts that are not on the list and whose last status and
// leave notice are both older than StatusTTL. It reports whether there were
// any.
func (d *Directory) prune(now time.Time) (removed bool) {
	for name, r := range d.hosts {
		expired := now.Sub(r.statusAt) > d.opts.StatusTTL && now.Sub(r.noticeAt) > d.opts.StatusTTL
		if !d.listed[name] && expired {
			delete(d.hosts, name)
			removed = true
		}
	}
	return removed
}

// merge applies the platform's description of a host, unless a newer incarnation
// is known.
func (d *Directory) merge(h hostlog.Host) {
	r, ok := d.hosts[h.Name]
	if !ok {
		r = &hostRecord{}
		d.hosts[h.Name] = r
	}
	if h.Incarnation < r.host.Incarnation {
		return
	}
	if h.Incarnation > r.host.Incarnation {
		r.resetFailures()
	}
	r.host = h
	if h.State == hostlog.StateLeaving {
		r.leaving = max(r.leaving, h.Incarnation)
	}
}

// MarkLeaving applies a leave notice, and reports whether it is new.
func (d *Directory) MarkLeaving(n LeaveNotice, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.hosts[n.Host]
	if !ok {
		// The notice arrived before a list with the host.
		r = &hostRecord{}
		d.hosts[n.Host] = r
	}
	if n.Incarnation <= r.leaving {
		return false
	}
	r.leaving = n.Incarnation
	r.noticeAt = now
	d.publish(now)
	return true
}

// UpdateStatus applies an engine's report. If the report is the first to say
// that the engine is leaving, it returns a leave notice and true. Views show
// the report from the next call of Refresh or another update on.
func (d *Directory) UpdateStatus(host string, s engine.Status, now time.Time) (LeaveNotice, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.hosts[host]
	if !ok || s.Holding.Incarnation < r.host.Incarnation {
		return LeaveNotice{}, false
	}
	if s.Holding.Incarnation > r.host.Incarnation {
		r.resetFailures()
	}
	r.host.Incarnation = s.Holding.Incarnation
	r.status = s
	r.statusAt = now
	n := LeaveNotice{Host: host, Incarnation: s.Holding.Incarnation}
	isNew := s.Draining && r.leaving < n.Incarnation
	if isNew {
		r.leaving = n.Incarnation
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
	// maxFailures caps the failure count. An endpoint is avoided for SuspectTTL
	// after its first failure and for twice as long after each further one, so
	// for at most 16 times SuspectTTL.
	maxFailures = 5
	// failureResetTime is the time without a failure after which the failure
	// count restarts.
	failureResetTime = 30 * time.Second
)

// Suspect records that an endpoint failed a request. It is avoided for a while,
// which is longer for each further failure.
func (d *Directory) Suspect(host string, incarnation int64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.hosts[host]
	if !ok || r.host.Incarnation > incarnation {
		return
	}
	if now.Sub(r.suspectAt) > failureResetTime {
		r.failures = 0
	}
	if !now.Before(r.suspectUntil) {
		// Requests that were in flight together count as one failure.
		r.failures = min(r.failures+1, maxFailures)
	}
	r.suspectAt = now
	r.suspectUntil = now.Add(d.opts.SuspectTTL << (r.failures - 1))
	d.publish(now)
}

// linkSuspectTTL is how long a link between endpoints is avoided after it
// failed.
const linkSuspectTTL = 5 * time.Second

// SuspectLink records that the link between two endpoints failed. It is avoided
// for a while.
func (d *Directory) SuspectLink(l route.Link, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspectLinks[l] = now.Add(linkSuspectTTL)
	d.publish(now)
}

// publish stores a new view. d.mu must be held.
func (d *Directory) publish(now time.Time) {
	v := newView(d.opts, d.flows)
	for _, r := range d.hosts {
		if r.host.Name != "" {
			v.add(r, now, d.opts)
		}
	}
	for l, until := range d.suspectLinks {
		if !now.Before(until) {
			delete(d.suspectLinks, l)
			continue
		}
		v.suspectLinks[l] = true
	}
	v.sort()
	d.view.Store(v)
}
