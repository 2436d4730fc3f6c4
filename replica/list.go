package replica

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bulrushshed/route"
)

// Replica is one process of a service, as it last told of itself.
type Replica struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that it runs at a time.
	Slots int
	// Draining replicas take no new requests.
	Draining bool
	// Started is the Unix time in ms of its start, by its own clock.
	Started int64
	// Accelerator names its kind, for an engine.
	Accelerator string
	// Layers are those that it holds, and Version is of their weights.
	Layers  route.Range
	Version int
}

// View is the replicas that may be sent work, at one moment; it is frozen.
type View struct {
	byService map[string][]Replica
	// leaving are those that drain, by service.
	leaving   map[string][]Replica
	byAddress map[string]Replica
	lost      map[string]time.Time
	// Revision grows with each view.
	Revision int64
}

// ByService returns the replicas of a service, in order of address.
func (v *View) ByService(service string) []Replica { return v.byService[service] }

// Draining returns the replicas of a service that drain.
func (v *View) Draining(service string) []Replica { return v.leaving[service] }

// LastRemoved returns when a replica of a service was last taken from the list; zero if none
// was.
func (v *View) LastRemoved(service string) time.Time { return v.lost[service] }

// ByAddress returns the replica at an address.
func (v *View) ByAddress(address string) (Replica, bool) {
	r, ok := v.byAddress[address]
	return r, ok
}

// List is safe for concurrent use.
type List struct {
	// lapse is how long an entry that went missing in an outage of the store
	// is trusted behind the end of the outage.
	lapse time.Duration

	mu      sync.Mutex
	entries map[string]Replica
	// lapsed holds until when entries that went missing are trusted.
	lapsed map[string]time.Time
	// outageEnd is when the store last answered again after an outage.
	outageEnd time.Time
	// away is set during an outage.
	away bool
	// lost is when a replica of each service was last taken from the list.
	lost map[string]time.Time

	view atomic.Pointer[View]
}

// NewList returns an empty list.
func NewList(lapse time.Duration) *List {
	l := &List{lapse: lapse, entries: map[string]Replica{}, lapsed: map[string]time.Time{}, lost: map[string]time.Time{}}
	l.view.Store(&View{})
	return l
}

// View returns the replicas that may be sent work.
func (l *List) View() *View { return l.view.Load() }

// Put takes what a replica tells of itself.
func (l *List) Put(r Replica) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.lapsed, r.ID)
	l.entries[r.ID] = r
	l.publish()
}

// Remove notes that an entry is gone.
func (l *List) Remove(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(id, now)
	l.publish()
}

// Replace takes a whole list; entries that it leaves out are gone.
func (l *List) Replace(all []Replica, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[string]bool, len(all))
	for _, r := range all {
		listed[r.ID] = true
		delete(l.lapsed, r.ID)
		l.entries[r.ID] = r
	}
	for id := range l.entries {
		if !listed[id] {
			l.remove(id, now)
		}
	}
	l.publish()
}

func (l *List) remove(id string, now time.Time) {
	until := l.outageEnd.Add(l.lapse)
	if _, known := l.entries[id]; known && (l.away || now.Before(until)) {
		if _, already := l.lapsed[id]; !already {
			l.lapsed[id] = until
		}
		return
	}
	l.drop(id, now)
}

// drop takes an entry from the list.
func (l *List) drop(id string, now time.Time) {
	if r, known := l.entries[id]; known {
		l.lost[r.Service] = now
	}
	delete(l.entries, id)
	delete(l.lapsed, id)
}

// Away notes that the store does not answer.
func (l *List) Away() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = true
}

// Back notes that the store answers.
func (l *List) Back(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.away {
		l.away = false
		l.outageEnd = now
		for id := range l.lapsed {
			l.lapsed[id] = now.Add(l.lapse)
		}
	}
	l.expire(now)
}

// Expire drops what has been missing for too long.
func (l *List) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.away {
		l.expire(now)
	}
}

func (l *List) expire(now time.Time) {
	changed := false
	for id, until := range l.lapsed {
		if !now.Before(until) {
			l.drop(id, now)
			changed = true
		}
	}
	if changed {
		l.publish()
	}
}

// Lapsing reports whether some entry is trusted for a while only.
func (l *List) Lapsing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lapsed) > 0
}

// publish makes the next view; the lock is held.
func (l *List) publish() {
	v := &View{
		byService: map[string][]Replica{}, leaving: map[string][]Replica{}, byAddress: map[string]Replica{}, lost: maps.Clone(l.lost),
		Revision: l.view.Load().Revision + 1,
	}
	for _, r := range l.entries {
		if other, taken := v.byAddress[r.Address]; taken && other.Started >= r.Started {
			continue
		}
		v.byAddress[r.Address] = r
	}
	for _, r := range v.byAddress {
		if r.Draining {
			v.leaving[r.Service] = append(v.leaving[r.Service], r)
			continue
		}
		v.byService[r.Service] = append(v.byService[r.Service], r)
	}
	for _, all := range v.byService {
		slices.SortFunc(all, func(a, b Replica) int { return cmp.Compare(a.Address, b.Address) })
	}
	l.view.Store(v)
}
