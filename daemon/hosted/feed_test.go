package hosted_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// awaitAccepted waits until all given hosts serve requests with a key.
func (f *fleet) awaitAccepted(t *testing.T, key string, hosts ...*entryHost) {
	t.Helper()
	for _, h := range hosts {
		await(t, "response 200 with key "+key, func() bool { return statusOf(h.request(t, "GET", "/stock/1", key)) == 200 })
	}
}

// awaitReader waits until the hosts know each other and only one reads the
// store. It returns the index of that host.
func (f *fleet) awaitReader(t *testing.T) (n int) {
	t.Helper()
	for _, h := range f.hosts {
		await(t, "directory response with all hosts", func() bool { return slices.Equal(h.addresses(t), f.callerAddresses()) })
	}
	await(t, "single reader of the store", func() bool {
		n = slices.IndexFunc(f.hosts, func(h *entryHost) bool { return f.store.waitingReadsAt(h.proxy.address()) == 2 })
		return n >= 0 && f.store.waitingReads() == 2
	})
	return n
}

// In a failure domain, only one host reads the store, and the other hosts
// receive all changes from it.
func TestFailureDomainHasOneReader(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.awaitAccepted(t, "k1", f.hosts...)
	f.awaitReader(t)
	f.store.put("keyed.op", "config", configuration(4, "k2"))
	f.awaitAccepted(t, "k2", f.hosts...)
	added := newReplica(t, f.store, "p2", "plain", "")
	f.plain[0].drain("plain")
	f.plain[1].drain("plain")
	for _, h := range f.hosts {
		await(t, "call to the new replica", func() bool {
			before := added.callCount()
			h.request(t, "GET", "/stock/1", "k2")
			return added.callCount() > before
		})
	}
	f.awaitReader(t)
}

// If the reader no longer receives responses from the store, its followers must
// read the store themselves, and the reader must reject requests once its
// configuration is no longer confirmed.
func TestFollowersReadStoreWhenReaderIsStale(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.awaitAccepted(t, "k1", f.hosts...)
	i := f.awaitReader(t)
	reader := f.hosts[i]
	followers := slices.Delete(slices.Clone(f.hosts), i, i+1)
	reader.proxy.setUnresponsive(true)
	f.store.put("keyed.op", "config", configuration(4, "k2"))
	f.awaitAccepted(t, "k2", followers...)
	await(t, "response 503", func() bool { return statusOf(reader.request(t, "GET", "/stock/1", "k1")) == 503 })
	reader.proxy.setUnresponsive(false)
	f.awaitAccepted(t, "k2", reader)
	f.awaitReader(t)
}

// A host that cannot reach the store receives all changes from its source, and
// keeps accepting API keys on the source's confirmations.
func TestHostCutOffFromStoreFollowsReader(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.awaitAccepted(t, "k1", f.hosts...)
	follower := f.hosts[1-f.awaitReader(t)]
	follower.proxy.setUnresponsive(true)
	f.store.put("keyed.op", "config", configuration(4, "k2"))
	f.awaitAccepted(t, "k2", follower)
	// By then the host's own last read is too old to confirm the configuration.
	time.Sleep(follower.cfg.Revoke.D() + time.Second)
	f.store.put("keyed.op", "config", configuration(5, "k3"))
	f.awaitAccepted(t, "k3", follower)
	is.New(t).Equal(statusOf(follower.request(t, "GET", "/stock/1", "k2")), 401)
}

// While the store is down, reads must not be long polls: a read that hangs
// would delay the next attempt.
func TestNoLongPollsDuringStoreOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	h := f.hosts[0]
	f.awaitAccepted(t, "k1", h)
	f.store.setDown(true)
	await(t, "response 503", func() bool { return statusOf(h.request(t, "GET", "/stock/1", "k1")) == 503 })
	before := len(h.proxy.pollTimeouts())
	await(t, "more reads", func() bool { return len(h.proxy.pollTimeouts()) >= before+4 })
	for _, timeout := range h.proxy.pollTimeouts()[before:] {
		is.New(t).Equal(timeout, "0")
	}
	f.store.setDown(false)
	f.awaitAccepted(t, "k1", h)
}
