package replica_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/replica"
)

const lapse = 2 * time.Second

func entry(id, address string, started int64) replica.Replica {
	return replica.Replica{ID: id, Service: "s", Address: address, FailureDomain: "a", Started: started}
}

func ids(l *replica.List) []string {
	var all []string
	for _, r := range l.View().ByService("s") {
		all = append(all, r.ID)
	}
	return all
}

func TestADrainingReplicaGetsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := replica.NewList(lapse)
	r := entry("i1", "x:1", 1)
	l.Put(r)
	is.Equal(ids(l), []string{"i1"})
	r.Draining = true
	l.Put(r)
	is.Equal(ids(l), nil)
}

func TestAGoneReplicaGetsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(100, 0)
	l := replica.NewList(lapse)
	l.Put(entry("i1", "x:1", 1))
	l.Put(entry("i2", "x:2", 1))
	l.Remove("i1", now)
	is.Equal(ids(l), []string{"i2"})
	l.Replace([]replica.Replica{entry("i3", "x:3", 1)}, now)
	is.Equal(ids(l), []string{"i3"})
}

// A view tells when a replica of a service was last lost; those that never were
// listed, or are trusted in an outage, are not.
func TestAViewTellsTheLastLoss(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(100, 0)
	l := replica.NewList(lapse)
	l.Put(entry("i1", "x:1", 1))
	l.Put(entry("i2", "x:2", 1))
	l.Remove("i9", now)
	is.True(l.View().LastRemoved("s").IsZero())
	l.Remove("i1", now)
	is.Equal(l.View().LastRemoved("s"), now)
	is.True(l.View().LastRemoved("other").IsZero())
	l.Away()
	l.Remove("i2", now.Add(time.Second))
	is.Equal(l.View().LastRemoved("s"), now)
	l.Back(now.Add(2 * time.Second))
	l.Expire(now.Add(2*time.Second + lapse))
	is.Equal(l.View().LastRemoved("s"), now.Add(2*time.Second+lapse))
}

// Entries that lapse while the store is away are trusted for a while behind its
// return; those that are back by then stay.
func TestEntriesThatLapsedInAnOutageHaveTimeToComeBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(100, 0)
	l := replica.NewList(lapse)
	l.Put(entry("i1", "x:1", 1))
	l.Put(entry("i2", "x:2", 1))
	l.Away()
	now = now.Add(10 * time.Second)
	l.Back(now)
	l.Remove("i1", now)
	l.Remove("i2", now)
	is.Equal(ids(l), []string{"i1", "i2"})
	now = now.Add(lapse - time.Millisecond)
	l.Put(entry("i2", "x:2", 1))
	l.Expire(now)
	is.Equal(ids(l), []string{"i1", "i2"})
	now = now.Add(time.Millisecond)
	l.Expire(now)
	is.Equal(ids(l), []string{"i2"})
	l.Remove("i2", now)
	is.Equal(ids(l), nil) // the outage is over
}

// A replica that says that it drains is believed at once, outage or not.
func TestDrainingIsBelievedInAnOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := replica.NewList(lapse)
	r := entry("i1", "x:1", 1)
	l.Put(r)
	l.Away()
	r.Draining = true
	l.Put(r)
	is.Equal(ids(l), nil)
}

// Of two entries with one address, the one that started later is there.
func TestAnAddressThatIsUsedAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := replica.NewList(lapse)
	l.Put(entry("new", "x:1", 20))
	l.Put(entry("old", "x:1", 10))
	is.Equal(ids(l), []string{"new"})
	r, ok := l.View().ByAddress("x:1")
	is.True(ok)
	is.Equal(r.ID, "new")
}

func TestPickerAvoidsWhatFailsAndIsBusy(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Now()
	p := replica.NewPicker("a")
	all := []replica.Replica{entry("i1", "x:1", 1), entry("i2", "x:2", 1)}
	for range 8 {
		r, done, ok := p.Pick(all, nil, now)
		is.True(ok)
		done(r.ID == "i1")
	}
	for range 20 {
		r, done, _ := p.Pick(all, nil, time.Now())
		is.Equal(r.ID, "i2")
		done(false)
	}
	_, _, ok := p.Pick(all, map[string]bool{"i1": true, "i2": true}, now)
	is.True(!ok)
	// A replica that failed is tried again once the others are busy enough.
	for range 40 {
		if r, _, _ := p.Pick(all, nil, time.Now()); r.ID == "i1" {
			return
		}
	}
	t.Fatal("got no request for the replica that failed, want some")
}

func TestPickerPrefersTheOwnDomain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	far := entry("far", "x:1", 1)
	far.FailureDomain = "b"
	p := replica.NewPicker("a")
	for range 10 {
		r, done, _ := p.Pick([]replica.Replica{far, entry("near", "x:2", 1)}, nil, time.Now())
		is.Equal(r.ID, "near")
		done(false)
	}
}
