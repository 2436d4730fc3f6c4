package hosted_test

import (
	"slices"
	"testing"
)

// Hosts that start at the same time become visible in the store's list one after the other,
// in one generation of the group. A list that was read before is incomplete; hosts that are
// missing in it get no callers, and read the store for themselves.
func TestHostsThatStartTogetherKnowEachOther(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.store.setHandsOver()
	for i := range 4 {
		f.hosts = append(f.hosts, f.start(t, i))
	}
	for _, h := range f.hosts {
		await(t, "directory response with all hosts", func() bool { return slices.Equal(h.addresses(t), f.callerAddresses()) })
	}
}
