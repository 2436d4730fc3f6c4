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

// The store shares out the partitions of each topic by itself. In a group with more hosts than
// a topic has partitions, the last ones must be visible, too.
func TestMoreHostsThanPartitionsOfATopicAreVisible(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.store.setPartitions(3)
	for i := range 5 {
		f.hosts = append(f.hosts, f.start(t, i))
	}
	for _, h := range f.hosts {
		await(t, "directory response with all hosts", func() bool { return slices.Equal(h.addresses(t), f.callerAddresses()) })
	}
}
