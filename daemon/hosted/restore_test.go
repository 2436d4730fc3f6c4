package hosted_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"
)

// manyKeys returns keys that make a configuration too large to be relayed uncompressed.
func manyKeys(name string) []string {
	keys := []string{name}
	for i := range 200 {
		keys = append(keys, fmt.Sprintf("%s-%d", name, i))
	}
	return keys
}

// A version that is written at the offset of a lost one must reach the followers of a
// host that has relayed the lost one.
func TestFollowersGetVersionAtOffsetOfLostOne(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.awaitAccepted(t, "k1", f.hosts...)
	f.awaitReader(t)
	old := f.store.copy()
	f.store.put("keyed.op", "config", configuration(4, manyKeys("k2")...))
	f.awaitAccepted(t, "k2", f.hosts...)
	f.store.restore(old)
	f.awaitReader(t)
	time.Sleep(time.Second)
	f.store.put("keyed.op", "config", configuration(7, manyKeys("k3")...))
	f.awaitAccepted(t, "k3", f.hosts...)
}

// More may be written after a restore than was lost before a host reads again.
func TestVersionBelowOldOffsetIsReadAfterRestore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.awaitAccepted(t, "k1", f.hosts...)
	old := f.store.copy()
	f.store.put("keyed.op", "config", configuration(4, "k2"))
	f.store.put("keyed.op", "config", configuration(5, "k3"))
	f.awaitAccepted(t, "k3", f.hosts...)
	old.put("keyed.op", "config", configuration(7, "k4"))
	for i := range 5 {
		old.put("keyed.op", fmt.Sprintf("other%d", i), "x")
	}
	f.store.restore(old)
	f.awaitAccepted(t, "k4", f.hosts...)
}

// A host that starts after a restore, before the operator has written the lost version
// again, must not accept a key that this version had revoked.
func TestStartingHostKeepsLostRevocation(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.awaitAccepted(t, "k1", f.hosts...)
	old := f.store.copy()
	f.store.put("keyed.op", "config", configuration(4, "k2"))
	f.awaitAccepted(t, "k2", f.hosts...)
	f.store.restore(old)
	f.hosts = append(f.hosts, f.start(t, 2))
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i, h := range f.hosts {
			if status, _ := h.request(t, "GET", "/stock/1", "k1"); status == 200 {
				t.Fatalf("host %d: got status 200 for a revoked key, want 401 or 503", i)
			}
		}
	}
	f.awaitAccepted(t, "k2", f.hosts...)
}

// A restore takes the group's generation back. Hosts must still follow its changes, and
// the holder of the control lease must use a higher fencing token than before.
func TestGroupGoesOnAfterRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2)
	f.awaitAccepted(t, "k1", f.hosts...)
	await(t, "layers on both engines", func() bool { return len(f.engines[0].receivedOrders()) == 1 && len(f.engines[1].receivedOrders()) == 1 })
	before := orderedFence(f.engines[0].receivedOrders()[0])
	old := f.store.copy()
	old.generation -= 2
	f.store.restore(old)
	added := newReplica(t, f.store, "e2", "model", "k")
	await(t, "layers on the added engine", func() bool { return len(added.receivedOrders()) == 1 })
	is.True(orderedFence(added.receivedOrders()[0]) > before)
	f.hosts = append(f.hosts, f.start(t, 2))
	for _, h := range f.hosts {
		await(t, "directory response with all hosts", func() bool { return len(h.addresses(t)) == len(f.hosts) })
	}
}

// A backup lists a replica that has drained since, and one that is gone, as ready.
func TestRestoreKeepsDrainedReplicas(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.awaitAccepted(t, "k1", f.hosts...)
	old := f.store.copy()
	f.plain[0].drain("plain")
	time.Sleep(time.Second)
	before := f.plain[0].callCount()
	f.store.restore(old)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		f.hosts[0].request(t, "GET", "/stock/1", "k1")
	}
	is.New(t).Equal(f.plain[0].callCount(), before)
}

// The holder of the control lease keeps in the store that the operator has had time to
// write again, once in each era.
func TestSettledEraIsKeptInStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2)
	f.awaitAccepted(t, "k1", f.hosts...)
	for range 2 {
		f.store.restore(f.store.copy())
	}
	await(t, "record of the settled era", func() bool { return len(f.store.keys("keyed.findings")) == 1 })
	time.Sleep(2 * time.Second)
	is.Equal(f.store.recordCount("keyed.findings"), 1)
	f.hosts = append(f.hosts, f.start(t, 2))
	f.awaitAccepted(t, "k1", f.hosts...)
	is.Equal(f.store.keys("keyed.findings"), []string{"settled_era"})
}

// What the hosts themselves have written is lost, too, and must be written again for
// hosts that start later.
func TestLostFindingsAreWrittenAgain(t *testing.T) {
	t.Parallel()
	f := newFleetWithDeadlyPart(t, 2)
	old := f.store.copy()
	f.sendDeadly(t, f.hosts[0])
	findings := func() int {
		return lo.CountBy(f.store.keys("keyed.findings"), func(key string) bool { return key != "settled_era" })
	}
	await(t, "findings in the store", func() bool { return findings() > 0 })
	time.Sleep(3 * time.Second) // until all are written and the other host has them
	before := findings()
	f.store.restore(old)
	is.New(t).Equal(findings(), 0)
	await(t, "the same findings in the store", func() bool { return findings() >= before })
}

// Keys must be accepted for 3 s without the store, counted from any moment: a confirmation
// is as old as two reads of the configuration when the next one fails.
func TestConfigurationIsConfirmedOften(t *testing.T) {
	t.Parallel()
	const outage = 3 * time.Second
	f := newFleet(t, 1)
	h := f.hosts[0]
	f.awaitAccepted(t, "k1", h)
	await(t, "long read of the configuration", func() bool { return h.proxy.configWait() > 0 })
	validity := time.Duration(0.94 * float64(h.cfg.Revoke.D()))
	if got := validity - 2*h.proxy.configWait(); got < outage {
		t.Errorf("got keys accepted for %v without the store, want at least %v", got, outage)
	}
}
