package replica

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bulrushshed/route"
)

// Replica is the entry that a process of a service last published about
// itself.
type Replica struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Draining replicas accept no new requests.
	Draining bool
	// Started is its start time in Unix milliseconds, by its own clock.
	Started int64
	// Writes counts what this run of the replica has written about itself. It tells an
	// older entry from a newer one.
	Writes int64
	// Accelerator is the kind of accelerator of an engine, which is a replica
	// that runs layers of a model. It is empty for other replicas.
	Accelerator string
	// Layers are the layers that an engine holds, and Version is the version
	// of their weights.
	Layers  route.Range
	Version int
}

// Incarnation identifies this run of the replica: its ID and its start time.
func (r Replica) Incarnation() string { return fmt.Sprintf("%s/%d", r.ID, r.Started) }

// supersedes reports whether an entry is newer than another one of the same replica.
func (r Replica) supersedes(old Replica) bool {
	if r.Started != old.Started {
		return r.Started > old.Started
	}
	return r.Writes > old.Writes
}

// View is an immutable snapshot of the listed replicas.
type View struct {
	// byService holds the replicas that do not drain by service.
	byService map[string][]Replica
	// draining holds the draining replicas by service.
	draining    map[string][]Replica
	byAddress   map[string]Replica
	lastRemoved map[string]time.Time
	// Revision increases with each view.
	Revision int64
}

// ByService returns the replicas of a service that do not drain, sorted by
// address.
func (v *View) ByService(service string) []Replica { return v.byService[service] }

// Draining returns the draining replicas of a service.
func (v *View) Draining(service string) []Replica { return v.draining[service] }

// LastRemoved returns when a replica of a service was last removed from the
// list, or the zero time if none was.
func (v *View) LastRemoved(service string) time.Time { return v.lastRemoved[service] }

// ByAddress returns the replica at an address.
func (v *View) ByAddress(address string) (Replica, bool) {
	r, ok := v.byAddress[address]
	return r, ok
}

// All returns all replicas, also draining ones, in no particular order.
func (v *View) All() iter.Seq[Replica] { return maps.Values(v.byAddress) }

// List holds the known replicas of all services. While the store is down and
// for a grace period afterwards, entries that disappear stay listed, since
// their replicas may be alive but unable to renew them. A List is safe for
// concurrent use.
type List struct {
	// gracePeriod is how long after an outage of the store the entries that
	// disappeared because of it stay listed.
	gracePeriod time.Duration

	mu      sync.Mutex
	entries map[string]Replica
	// graceEnds holds, by ID, when entries that disappeared are removed unless
	// they are published again. While the store is down none are removed, and
	// the end of the outage sets the times anew.
	graceEnds map[string]time.Time
	// outageEnd is when the last outage of the store ended.
	outageEnd time.Time
	// storeDown is set during an outage of the store.
	storeDown bool
	// lastRemoved holds, by service, when a replica was last removed.
	lastRemoved map[string]time.Time
	// removed holds the entries that were removed within removedMemory, by ID.
	removed map[string]removedEntry
	// leaving holds the incarnations that have announced in an answer that they leave.
	leaving leavingSet

	view atomic.Pointer[View]
}

// removedEntry is an entry that was removed from the list at a time.
type removedEntry struct {
	Replica
	at time.Time
}

const (
	// removedMemory is how long removed entries are remembered. It exceeds the age of the
	// backup from which the store may be restored.
	removedMemory = 2 * time.Minute
	// maxRemoved bounds the removed entries that are remembered.
	maxRemoved = 4096
)

// NewList returns an empty list.
func NewList(gracePeriod time.Duration) *List {
	l := &List{gracePeriod: gracePeriod, entries: map[string]Replica{}, graceEnds: map[string]time.Time{}, lastRemoved: map[string]time.Time{}, removed: map[string]removedEntry{}, leaving: leavingSet{}}
	l.view.Store(&View{})
	return l
}

// View returns the current snapshot.
func (l *List) View() *View { return l.view.Load() }

// Put adds or updates the entry of a replica.
func (l *List) Put(r Replica) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.graceEnds, r.ID)
	l.entries[r.ID] = r
	l.publishView()
}

// Remove handles the deletion of an entry from the store. The entry stays
// listed if the store is down or within the grace period of an outage.
func (l *List) Remove(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeOrDefer(id, now)
	l.publishView()
}

// Replace sets the complete list. Entries that it does not contain are
// handled as in Remove.
func (l *List) Replace(all []Replica, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replace(all, now)
}

// Restore sets the complete list after the store was restored from a backup. What
// this host knows better stays: a replica that has drained or left since does not come
// back, and one that the backup lacks stays listed for the grace period, within which all
// live replicas write their entries again.
func (l *List) Restore(all []Replica, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeDown = true
	current := make([]Replica, 0, len(all))
	for _, r := range all {
		known, listed := l.entries[r.ID]
		gone, removed := l.removed[r.ID]
		switch {
		case listed && !r.supersedes(known):
			current = append(current, known)
		case removed && !r.supersedes(gone.Replica):
		default:
			current = append(current, r)
		}
	}
	l.replace(current, now)
}

// replace sets the complete list. The caller holds l.mu.
func (l *List) replace(all []Replica, now time.Time) {
	listed := make(map[string]bool, len(all))
	for _, r := range all {
		listed[r.ID] = true
		delete(l.graceEnds, r.ID)
		l.entries[r.ID] = r
	}
	for id := range l.entries {
		if !listed[id] {
			l.removeOrDefer(id, now)
		}
	}
	l.publishView()
}

func (l *List) removeOrDefer(id string, now time.Time) {
	until := l.outageEnd.Add(l.gracePeriod)
	if _, known := l.entries[id]; known && (l.storeDown || now.Before(until)) {
		if _, already := l.graceEnds[id]; !already {
			l.graceEnds[id] = until
		}
		return
	}
	l.evict(id, now)
}

// evict removes an entry from the list at once.
func (l *List) evict(id string, now time.Time) {
	if r, known := l.entries[id]; known {
		l.lastRemoved[r.Service] = now
		l.remember(r, now)
	}
	delete(l.entries, id)
	delete(l.graceEnds, id)
}

// remember keeps a removed entry, and drops those that have been kept for long.
func (l *List) remember(r Replica, now time.Time) {
	maps.DeleteFunc(l.removed, func(_ string, e removedEntry) bool { return now.Sub(e.at) > removedMemory })
	if len(l.removed) < maxRemoved {
		l.removed[r.ID] = removedEntry{Replica: r, at: now}
	}
}

// MarkStoreDown records that the store does not respond.
func (l *List) MarkStoreDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeDown = true
}

// MarkStoreUp records that the store responds. At the end of an outage it
// starts the grace period of the entries that disappeared. It also removes the
// entries whose grace period has ended.
func (l *List) MarkStoreUp(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.storeDown {
		l.storeDown = false
		l.outageEnd = now
		for id := range l.graceEnds {
			l.graceEnds[id] = now.Add(l.gracePeriod)
		}
	}
	l.expire(now)
}

// Expire removes the entries whose grace period has ended, unless the store is
// down.
func (l *List) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.storeDown {
		l.expire(now)
	}
}

func (l *List) expire(now time.Time) {
	changed := false
	for id, until := range l.graceEnds {
		if !now.Before(until) {
			l.evict(id, now)
			changed = true
		}
	}
	if changed {
		l.publishView()
	}
}

// HasEntriesInGrace reports whether any entry is in its grace period.
func (l *List) HasEntriesInGrace() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.graceEnds) > 0
}

// publishView stores the next view. If two entries have the same address, it
// lists the replica that started last. The caller holds l.mu.
func (l *List) publishView() {
	v := &View{
		byService: map[string][]Replica{}, draining: map[string][]Replica{}, byAddress: map[string]Replica{}, lastRemoved: maps.Clone(l.lastRemoved),
		Revision: l.view.Load().Revision + 1,
	}
	for _, r := range l.entries {
		if current, taken := v.byAddress[r.Address]; taken && current.Started >= r.Started {
			continue
		}
		v.byAddress[r.Address] = r
	}
	for address, r := range v.byAddress {
		if l.leaving.has(r) {
			r.Draining = true
			v.byAddress[address] = r
		}
		if r.Draining {
			v.draining[r.Service] = append(v.draining[r.Service], r)
			continue
		}
		v.byService[r.Service] = append(v.byService[r.Service], r)
	}
	for _, all := range v.byService {
		slices.SortFunc(all, func(a, b Replica) int { return cmp.Compare(a.Address, b.Address) })
	}
	l.view.Store(v)
}
