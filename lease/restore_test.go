package lease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/hostlog"
	"bulrushshed/lease"
)

// After a restore of the log two hosts that hold different records of it agree on who
// gets the lease, and nobody does before the old holder has stopped.
func TestLeaseOfRestoredLog(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := lease.Options{Term: 5 * time.Second, Margin: time.Second, Renew: time.Second}
	now := time.Unix(1000, 0)
	holder, other := lease.NewElector(o, "a"), lease.NewElector(o, "b")
	claim, ok := holder.NextRecord("1", now)
	is.True(ok)
	holder.Observe(1, claim, now)
	other.Observe(1, claim, now)
	renewal, ok := holder.NextRecord("2", now.Add(time.Second))
	is.True(ok)
	holder.Observe(2, renewal, now.Add(time.Second)) // the other host never reads it
	fence, ok := holder.Holds(now.Add(time.Second))
	is.True(ok)

	restored := now.Add(2 * time.Second)
	holder.Reset(hostlog.Position(2, 0), restored)
	other.Reset(hostlog.Position(2, 0), restored)
	_, ok = holder.Holds(restored)
	is.True(!ok)
	is.Equal(holder.State().Last, other.State().Last)
	_, ok = other.NextRecord("3", restored.Add(o.Term))
	is.True(!ok)
	late := restored.Add(o.Term + o.Margin + 1)
	claim, ok = other.NextRecord("4", late)
	is.True(ok)
	old := renewal // a late append of the old era, which the writer marked as such
	holder.Observe(hostlog.Position(1, 3), old, late)
	other.Observe(hostlog.Position(1, 3), old, late)
	holder.Observe(hostlog.Position(2, 4), claim, late)
	other.Observe(hostlog.Position(2, 4), claim, late)
	is.Equal(holder.State(), other.State())
	newFence, ok := other.Holds(late)
	is.True(ok)
	is.True(newFence > fence)
}
