package hosted_test

import (
	"testing"
	"time"
)

// Guards against keys that are confirmed by a page of changes that isn't the last one: after
// an outage, requests ran with a key that a version in the next page had taken away.
func TestPartOfTheChangesConfirmsNoKeys(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.revoke = 4 * time.Second
	for i := range 2 {
		f.hosts = append(f.hosts, f.start(t, i))
	}
	f.awaitAccepted(t, "k1", f.hosts...)
	f.awaitReader(t)
	f.store.setDown(true)
	for _, h := range f.hosts {
		await(t, "response 503 during the outage", func() bool { return statusOf(h.request(t, "GET", "/stock/1", "k1")) == 503 })
	}
	f.store.put("keyed.op", "config", configuration(4, "k1", "k2"))
	f.store.put("keyed.op", "config", configuration(5, "k2"))
	last := f.store.recordCount("keyed.op") - 1
	f.store.set(func(s *store) { s.pageRecords, s.blockedFrom, s.down = 1, last, false })
	await(t, "read of the last version that fails", func() bool { return f.store.blockedReadCount() > 0 })
	for range 20 {
		for n, h := range f.hosts {
			if status := statusOf(h.request(t, "GET", "/stock/1", "k1")); status != 503 {
				t.Fatalf("got status %d of host %d with a key that was taken away, want 503", status, n)
			}
		}
	}
	f.store.set(func(s *store) { s.blockedFrom = 0 })
	f.awaitAccepted(t, "k2", f.hosts...)
	for _, h := range f.hosts {
		await(t, "response 401 with the key that was taken away", func() bool { return statusOf(h.request(t, "GET", "/stock/1", "k1")) == 401 })
	}
}
