package replica_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/replica"
)

func TestReplicaThatAnnouncesItsLeavingCountsAsDraining(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(100, 0)
	l := replica.NewList(gracePeriod)
	r := newReplica("i1", "x:1", 1)
	l.Put(r)
	l.Put(newReplica("i2", "x:2", 1))
	is.True(l.MarkLeaving(r.Incarnation(), now))
	is.True(!l.MarkLeaving(r.Incarnation(), now)) // already known
	is.Equal(ids(l), []string{"i2"})
	is.Equal(len(l.View().Draining("s")), 1)
	listed, _ := l.View().ByAddress("x:1")
	is.True(listed.Draining)
}

// Whatever the list shows later, the announcement holds for the incarnation, and only for it.
func TestAnnouncedLeavingOutlastsTheList(t *testing.T) {
	t.Parallel()
	first, other := newReplica("i1", "x:1", 1), newReplica("i2", "x:2", 1)
	for name, change := range map[string]func(l *replica.List, now time.Time){
		"written again": func(l *replica.List, _ time.Time) {
			again := first
			again.Writes++
			l.Put(again)
		},
		"read late": func(l *replica.List, now time.Time) {
			l.Remove("i1", now)
			l.Put(first)
		},
		"restored from a backup": func(l *replica.List, now time.Time) {
			l.Restore([]replica.Replica{first, other}, now)
			l.MarkStoreUp(now)
		},
		"removed for a minute": func(l *replica.List, now time.Time) {
			l.Remove("i1", now)
			l.MarkLeaving("i9/1", now.Add(time.Minute))
			l.Put(first)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			now := time.Unix(100, 0)
			l := replica.NewList(gracePeriod)
			l.Put(first)
			l.Put(other)
			l.MarkLeaving(first.Incarnation(), now)
			change(l, now)
			is.Equal(ids(l), []string{"i2"})
			l.Put(newReplica("i1", "x:1", 2))
			is.Equal(ids(l), []string{"i1", "i2"}) // a new incarnation
		})
	}
}

// Another host may have learned of the leaving before this one reads the entry.
func TestLeavingIsKnownBeforeTheEntry(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := replica.NewList(gracePeriod)
	r := newReplica("i1", "x:1", 1)
	l.MarkLeaving(r.Incarnation(), time.Unix(100, 0))
	l.Put(r)
	is.Equal(ids(l), nil)
}
