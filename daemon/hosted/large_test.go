package hosted_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/settings"
)

// largeConfiguration is a configuration of more than the given size.
func largeConfiguration(version, bytes int, keys ...string) map[string]any {
	c := configuration(version, keys...)
	c["notes"] = strings.Repeat("x", bytes)
	return c
}

// A host that starts could not read a configuration that the running hosts had applied:
// the snapshot has it in base64, and the client refused answers of more than 4 MiB.
func TestStartingHostReadsLargeConfiguration(t *testing.T) {
	t.Parallel()
	for _, bytes := range []int{3200 << 10, 6 << 20} {
		f := newFleet(t, 0)
		f.store.put("keyed.op", "config", largeConfiguration(4, bytes, "k2"))
		for i := range 2 {
			f.hosts = append(f.hosts, f.start(t, i))
		}
		f.awaitAccepted(t, "k2", f.hosts...)
	}
}

// Running hosts, one of which reads the store for the other, must get a large version.
func TestRunningHostsReadLargeConfiguration(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.awaitAccepted(t, "k1", f.hosts...)
	f.awaitReader(t)
	f.store.put("keyed.op", "config", largeConfiguration(4, 6<<20, "k2"))
	f.awaitAccepted(t, "k2", f.hosts...)
	f.store.put("keyed.op", "config", configuration(5, "k3"))
	f.awaitAccepted(t, "k3", f.hosts...)
}

// holdLittle makes host 0 hold records of up to 1 MB, and read the store for the others.
func holdLittle(n int, cfg *settings.Host) {
	if n == 0 {
		cfg.StorePartitionMB = 1
		cfg.LinkMbps *= 2
	}
}

// A host goes on with the last configuration that it could hold, and reads the next one.
func TestTooLargeConfigurationIsSkipped(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.adjust = holdLittle
	f.hosts = []*entryHost{f.start(t, 0)}
	f.awaitAccepted(t, "k1", f.hosts...)
	f.store.put("keyed.op", "config", largeConfiguration(4, 2<<20, "k2"))
	added := newReplica(t, f.store, "p2", "plain", "")
	f.plain[0].drain("plain")
	f.plain[1].drain("plain")
	await(t, "call to the new replica", func() bool {
		f.hosts[0].request(t, "GET", "/stock/1", "k1")
		return added.callCount() > 0
	})
	is.New(t).Equal(statusOf(f.hosts[0].request(t, "GET", "/stock/1", "k1")), 200)
	f.store.put("keyed.op", "config", configuration(5, "k3"))
	f.awaitAccepted(t, "k3", f.hosts...)
}

// A configuration that is too large for a host may revoke keys. They must not be accepted
// for longer than without the store.
func TestKeysExpireWhileConfigurationIsSkipped(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.adjust = holdLittle
	f.revoke = time.Second
	f.hosts = []*entryHost{f.start(t, 0)}
	f.awaitAccepted(t, "k1", f.hosts...)
	f.store.put("keyed.op", "config", largeConfiguration(4, 2<<20, "k2"))
	refusals := 0
	await(t, "refusals of the old key for longer than a read of the store", func() bool {
		refusals++
		if statusOf(f.hosts[0].request(t, "GET", "/stock/1", "k1")) != 503 {
			refusals = 0
		}
		return refusals >= 100
	})
	f.store.put("keyed.op", "config", configuration(5, "k3"))
	f.awaitAccepted(t, "k3", f.hosts...)
}

// The host that reads the store for another one may have less memory. The other one must
// read what it skips from the store.
func TestFollowerReadsWhatItsSourceCannotHold(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.adjust = holdLittle
	for i := range 2 {
		f.hosts = append(f.hosts, f.start(t, i))
	}
	f.awaitAccepted(t, "k1", f.hosts...)
	is.New(t).Equal(f.awaitReader(t), 0)
	f.store.put("keyed.op", "config", largeConfiguration(4, 2<<20, "k2"))
	f.awaitAccepted(t, "k2", f.hosts[1])
}

// A large configuration that a restore of the store has lost must reach a host that starts
// from another host, unless it cannot hold it.
func TestStartingHostAsksForLargeConfiguration(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.adjust = func(n int, cfg *settings.Host) {
		if n == 1 {
			cfg.StorePartitionMB = 1
		}
	}
	f.hosts = []*entryHost{f.start(t, 0)}
	f.awaitAccepted(t, "k1", f.hosts...)
	old := f.store.copy()
	f.store.put("keyed.op", "config", largeConfiguration(4, 18<<20, "k2"))
	f.awaitAccepted(t, "k2", f.hosts...)
	f.store.restore(old)
	for i := range 2 {
		f.hosts = append(f.hosts, f.start(t, i+1))
	}
	f.awaitAccepted(t, "k2", f.hosts[2])
	is.New(t).True(statusOf(f.hosts[1].request(t, "GET", "/stock/1", "k2")) != 200)
}
