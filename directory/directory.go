package directory

import (
	"sync"
	"sync/atomic"
	"time"

	"bulrushshed/engine"
	"bulrushshed/hostlog"
	"bulrushshed/route"
)

// Options are the times after which news is forgotten.
type Options struct {
	// StatusLife is how long an engine's status counts without a new one.
	StatusLife time.Duration
	// SuspectLife is how long an endpoint that failed a request is avoided.
	SuspectLife time.Duration
	// Costs are the link costs of plans.
	Costs route.Costs
}

// Leaving is news that an incarnation of a host takes no new work.
type Leaving struct {
	Host        string `json:"host"`
	Incarnation int64  `json:"incarnation"`
}

// known is all that is known of one host.
type known struct {
	host hostlog.Host
	// leaving is the newest incarnation that is known to leave.
	leaving int64
	// status is an engine's report, and statusAt when it came.
	status   engine.Status
	statusAt time.Time
	// newsAt is when news of a leave came.
	newsAt time.Time
	// suspectAt is when the endpoint last failed a request, and suspectUntil
	// the earliest time to try it again.
	suspectAt    time.Time
	suspectUntil time.Time
	// failures is the number of failures since the endpoint was well.
	failures int
}

// renew forgets what an earlier incarnation did.
func (k *known) renew() {
	k.suspectAt = time.Time{}
	k.suspectUntil = time.Time{}
	k.failures = 0
}

// suspected reports whether an endpoint is to be avoided. An engine must also
// have sent a status since it failed, so that one that hangs is not tried.
func (k *known) suspected(now time.Time) bool {
	if k.suspectAt.IsZero() {
		return false
	}
	silent := k.host.Role == hostlog.RoleEngine && !k.statusAt.After(k.suspectAt)
	return now.Before(k.suspectUntil) || silent
}

// Directory gathers news. Its lock is taken before no other.
type Directory struct {
	opts  Options
	flows *flowCache
	view  atomic.Pointer[View]

	mu    sync.Mutex
	hosts map[string]*known
	// links are the ways between endpoints that failed, until when.
	links map[route.Link]time.Time
	// listed holds the names on the platform's last list.
	listed map[string]bool
}

// New returns a directory that knows no host.
func New(o Options) *Directory {
	d := &Directory{opts: o, flows: &flowCache{flows: map[mapKey]cachedFlow{}}, hosts: map[string]*known{}, links: map[route.Link]time.Time{}, listed: map[string]bool{}}
	d.view.Store(newView(o, d.flows))
	return d
}

// View returns the newest view; it is frozen.
func (d *Directory) View() *View { return d.view.Load() }

// List takes the platform's list, which lags.
func (d *Directory) List(hosts []hostlog.Host, now time.Time) {
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

// Update takes one line of the list that another host has read.
func (d *Directory) Update(h hostlog.Host, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed[h.Name] = true
	d.merge(h)
	d.publish(now)
}

// Gone notes that the list leaves an incarnation of a host out, as another host
// has read it.
func (d *Directory) Gone(name string, incarnation int64, now time.Time) {
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

// Unchanged notes that the platform's list is the same as last time.
func (d *Directory) Unchanged(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.prune(now) {
		d.publish(now)
	}
}

// prune drops the hosts that the list leaves out and that nobody hears of, and
// reports whether there were any.
func (d *Directory) prune(now time.Time) (dropped bool) {
	for name, k := range d.hosts {
		quiet := now.Sub(k.statusAt) > d.opts.StatusLife && now.Sub(k.newsAt) > d.opts.StatusLife
		if !d.listed[name] && quiet {
			delete(d.hosts, name)
			dropped = true
		}
	}
	return dropped
}

// merge keeps the line of the newest incarnation.
func (d *Directory) merge(h hostlog.Host) {
	k, ok := d.hosts[h.Name]
	if !ok {
		k = &known{}
		d.hosts[h.Name] = k
	}
	if h.Incarnation < k.host.Incarnation {
		return
	}
	if h.Incarnation > k.host.Incarnation {
		k.renew()
	}
	k.host = h
	if h.State == hostlog.StateLeaving {
		k.leaving = max(k.leaving, h.Incarnation)
	}
}

// Leave takes news that an incarnation leaves, and reports whether it is new.
func (d *Directory) Leave(n Leaving, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	k, ok := d.hosts[n.Host]
	if !ok {
		// The news was faster than the list.
		k = &known{}
		d.hosts[n.Host] = k
	}
	if n.Incarnation <= k.leaving {
		return false
	}
	k.leaving = n.Incarnation
	k.newsAt = now
	d.publish(now)
	return true
}

// Status takes an engine's report, and returns news if it says that the
// engine leaves.
func (d *Directory) Status(host string, s engine.Status, now time.Time) (Leaving, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k, ok := d.hosts[host]
	if !ok || s.Holding.Incarnation < k.host.Incarnation {
		return Leaving{}, false
	}
	if s.Holding.Incarnation > k.host.Incarnation {
		k.renew()
	}
	k.host.Incarnation = s.Holding.Incarnation
	k.status = s
	k.statusAt = now
	n := Leaving{Host: host, Incarnation: s.Holding.Incarnation}
	isNew := s.Draining && k.leaving < n.Incarnation
	if isNew {
		k.leaving = n.Incarnation
	}
	return n, isNew
}

// Refresh makes the statuses that came since the last view seen.
func (d *Directory) Refresh(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.publish(now)
}

const (
	// maxFailures bounds the doubling of the time for which an endpoint that
	// fails again and again is avoided.
	maxFailures = 5
	// forgiven is the time without a failure after which all are forgotten.
	forgiven = 30 * time.Second
)

// Suspect avoids an endpoint for a while after it failed a request, longer
// each time.
func (d *Directory) Suspect(host string, incarnation int64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k, ok := d.hosts[host]
	if !ok || k.host.Incarnation > incarnation {
		return
	}
	if now.Sub(k.suspectAt) > forgiven {
		k.failures = 0
	}
	if !now.Before(k.suspectUntil) {
		// Requests that were under way together count as one failure.
		k.failures = min(k.failures+1, maxFailures)
	}
	k.suspectAt = now
	k.suspectUntil = now.Add(d.opts.SuspectLife << (k.failures - 1))
	d.publish(now)
}

// linkLife is how long a way between endpoints is avoided after it failed.
const linkLife = 5 * time.Second

// SuspectLink avoids the way between two endpoints for a while.
func (d *Directory) SuspectLink(l route.Link, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.links[l] = now.Add(linkLife)
	d.publish(now)
}

// publish makes a new view. The lock is held.
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
