package replica_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/replica"
)

const gracePeriod = 2 * time.Second

func newReplica(id, address string, started int64) replica.Replica {
	return replica.Replica{ID: id, Service: "s", Address: address, FailureDomain: "a", Started: started}
}

func ids(l *replica.List) []string {
	var all []string
	for _, r := range l.View().ByService("s") {
		all = append(all, r.ID)
	}
	return all
}

func TestDrainingReplicaIsNotListed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := replica.NewList(gracePeriod)
	r := newReplica("i1", "x:1", 1)
	l.Put(r)
	is.Equal(ids(l), []string{"i1"})
	r.Draining = true
	l.Put(r)
	is.Equal(ids(l), nil)
}

func TestRemovedReplicaIsNotListed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(100, 0)
	l := replica.NewList(gracePeriod)
	l.Put(newReplica("i1", "x:1", 1))
	l.Put(newReplica("i2", "x:2", 1))
	l.Remove("i1", now)
	is.Equal(ids(l), []string{"i2"})
	l.Replace([]replica.Replica{newReplica("i3", "x:3", 1)}, now)
	is.Equal(ids(l), []string{"i3"})
}

// Neither the removal of an unknown entry nor one that an outage defers counts
// until the entry is no longer listed.
func TestViewReportsLastRemoval(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(100, 0)
	l := replica.NewList(gracePeriod)
	l.Put(newReplica("i1", "x:1", 1))
	l.Put(newReplica("i2", "x:2", 1))
	l.Remove("i9", now)
	is.True(l.View().LastRemoved("s").IsZero())
	l.Remove("i1", now)
	is.Equal(l.View().LastRemoved("s"), now)
	is.True(l.View().LastRemoved("other").IsZero())
	l.MarkStoreDown()
	l.Remove("i2", now.Add(time.Second))
	is.Equal(l.View().LastRemoved("s"), now)
	l.MarkStoreUp(now.Add(2 * time.Second))
	l.Expire(now.Add(2*time.Second + gracePeriod))
	is.Equal(l.View().LastRemoved("s"), now.Add(2*time.Second+gracePeriod))
}

// Entries may expire in the store during an outage because their replicas
// cannot renew them. They stay listed for the grace period after the outage,
// and remain listed if they are published again within it.
func TestEntriesMissingAfterOutageGetGracePeriod(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(100, 0)
	l := replica.NewList(gracePeriod)
	l.Put(newReplica("i1", "x:1", 1))
	l.Put(newReplica("i2", "x:2", 1))
	l.MarkStoreDown()
	now = now.Add(10 * time.Second)
	l.MarkStoreUp(now)
	l.Remove("i1", now)
	l.Remove("i2", now)
	is.Equal(ids(l), []string{"i1", "i2"})
	now = now.Add(gracePeriod - time.Millisecond)
	l.Put(newReplica("i2", "x:2", 1))
	l.Expire(now)
	is.Equal(ids(l), []string{"i1", "i2"})
	now = now.Add(time.Millisecond)
	l.Expire(now)
	is.Equal(ids(l), []string{"i2"})
	l.Remove("i2", now)
	is.Equal(ids(l), nil) // the grace period is over, so that the entry is removed at once
}

// A replica that reports that it drains is taken out of service at once, also
// during an outage.
func TestDrainingTakesEffectDuringOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := replica.NewList(gracePeriod)
	r := newReplica("i1", "x:1", 1)
	l.Put(r)
	l.MarkStoreDown()
	r.Draining = true
	l.Put(r)
	is.Equal(ids(l), nil)
}

// If two entries have the same address, the one that started later is listed,
// whichever was published last.
func TestReusedAddressListsNewestReplica(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := replica.NewList(gracePeriod)
	l.Put(newReplica("new", "x:1", 20))
	l.Put(newReplica("old", "x:1", 10))
	is.Equal(ids(l), []string{"new"})
	r, ok := l.View().ByAddress("x:1")
	is.True(ok)
	is.Equal(r.ID, "new")
}

func TestPickerAvoidsFailingAndBusyReplicas(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Now()
	p := replica.NewPicker("a")
	all := []replica.Replica{newReplica("i1", "x:1", 1), newReplica("i2", "x:2", 1)}
	failing, pending, ok := p.Pick(all, map[string]bool{"i2": true}, now)
	is.True(ok)
	is.Equal(failing.ID, "i1")
	pending.Done(true)
	for range 20 {
		r, pending, _ := p.Pick(all, nil, time.Now())
		is.Equal(r.ID, "i2")
		pending.Done(false)
	}
	_, _, ok = p.Pick(all, map[string]bool{"i1": true, "i2": true}, now)
	is.True(!ok)
	// The failing replica is tried again once the other one is busy enough.
	for range 40 {
		if r, _, _ := p.Pick(all, nil, time.Now()); r.ID == "i1" {
			return
		}
	}
	t.Fatal("got no request for the replica that failed, want some")
}

func TestPickerPrefersOwnFailureDomain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	far := newReplica("far", "x:1", 1)
	far.FailureDomain = "b"
	p := replica.NewPicker("a")
	for range 10 {
		r, pending, _ := p.Pick([]replica.Replica{far, newReplica("near", "x:2", 1)}, nil, time.Now())
		is.Equal(r.ID, "near")
		pending.Done(false)
	}
}

// A store that was restored from a backup lists what replicas wrote some time ago.
func TestRestoredListKeepsWhatIsKnownBetter(t *testing.T) {
	t.Parallel()
	entry := func(id string, started, writes int64, draining bool) replica.Replica {
		r := newReplica(id, id+":1", started)
		r.Writes = writes
		r.Draining = draining
		return r
	}
	for _, c := range []struct {
		name string
		// known are the entries before the restore, and gone those of them that were removed.
		known  []replica.Replica
		gone   string
		copied []replica.Replica
		want   []string
		// afterGrace are the replicas that remain if none writes again.
		afterGrace []string
	}{
		{"drained since", []replica.Replica{entry("i1", 1, 5, true)}, "", []replica.Replica{entry("i1", 1, 3, false)}, nil, nil},
		{"drained since, without counts", []replica.Replica{entry("i1", 1, 0, true)}, "", []replica.Replica{entry("i1", 1, 0, false)}, nil, nil},
		{"left since", []replica.Replica{entry("i1", 1, 5, false)}, "i1", []replica.Replica{entry("i1", 1, 5, false)}, nil, nil},
		{"left and back", []replica.Replica{entry("i1", 1, 5, false)}, "i1", []replica.Replica{entry("i1", 1, 6, false)}, []string{"i1"}, []string{"i1"}},
		{"left and restarted", []replica.Replica{entry("i1", 1, 5, false)}, "i1", []replica.Replica{entry("i1", 2, 0, false)}, []string{"i1"}, []string{"i1"}},
		{"registered since", []replica.Replica{entry("i1", 1, 5, false)}, "", nil, []string{"i1"}, nil},
		{"restarted since", []replica.Replica{entry("i1", 2, 0, false)}, "", []replica.Replica{entry("i1", 1, 9, true)}, []string{"i1"}, []string{"i1"}},
		{"unchanged", []replica.Replica{entry("i1", 1, 5, false)}, "", []replica.Replica{entry("i1", 1, 5, false)}, []string{"i1"}, []string{"i1"}},
		{"written again", []replica.Replica{entry("i1", 1, 5, false)}, "", []replica.Replica{entry("i1", 1, 6, true)}, nil, nil},
		{"unknown", nil, "", []replica.Replica{entry("i1", 1, 5, false)}, []string{"i1"}, []string{"i1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			now := time.Unix(1000, 0)
			l := replica.NewList(gracePeriod)
			l.Replace(c.known, now)
			if c.gone != "" {
				l.Remove(c.gone, now)
			}
			l.Restore(c.copied, now.Add(time.Second))
			l.MarkStoreUp(now.Add(time.Second))
			is.Equal(ids(l), c.want)
			l.Expire(now.Add(time.Second + gracePeriod))
			is.Equal(ids(l), c.afterGrace)
		})
	}
}
