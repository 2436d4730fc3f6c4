package hosted_test

import (
	"slices"
	"testing"
	"time"
)

// A backup may give the control lease to another host than the store did. The new holder
// must not send orders while the old one, which does not know of the restore, still may.
func TestLeaseOfNewEraBeginsAfterTheOldOne(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.awaitAccepted(t, "k1", f.hosts...)
	await(t, "layers on both engines", func() bool { return len(f.engines[0].receivedOrders()) == 1 && len(f.engines[1].receivedOrders()) == 1 })
	c := f.store.copy()
	slices.Reverse(c.members)
	f.store.restore(c)
	restored := time.Now()
	added := newReplica(t, f.store, "e2", "model", "k")
	await(t, "layers on the added engine", func() bool { return len(added.receivedOrders()) == 1 })
	const longestLease = 1800 * time.Millisecond
	if took := time.Since(restored); took < longestLease {
		t.Errorf("got the first order of the new era %v after the restore, want at least %v", took, longestLease)
	}
}
