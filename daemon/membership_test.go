package daemon_test

import (
	"slices"
	"testing"
	"time"

	"bulrushshed/directory"
	"bulrushshed/hostlog"
)

const (
	// largeFleet is a fleet in which not every host reads the platform's host
	// list.
	largeFleet        = 16
	eventuallyTimeout = 50 * time.Second
)

func (f *fleet) eventually(what string, condition func() bool) {
	f.b.Helper()
	for end := time.Now().Add(eventuallyTimeout); !condition(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			f.b.Fatalf("timed out waiting until %s", what)
		}
	}
}

// allKnow reports whether all hosts (or, if known is false, no hosts) have the
// named host in their directory.
func (f *fleet) allKnow(name string, known bool) bool {
	for n := range f.size {
		s, ok := f.status(n)
		knows := slices.ContainsFunc(s.Hosts, func(h directory.HostStatus) bool { return h.Name == name })
		if !ok || knows != known {
			return false
		}
	}
	return true
}

// In a large fleet only a few hosts read the platform's list each time. All
// others must learn by gossip of a host that joins and of one that leaves the
// list, before their own next read of the list.
func TestLargeFleetGossipsHostChanges(t *testing.T) {
	t.Parallel()
	f := newFleet(t, largeFleet)
	f.eventually("all hosts know each other", func() bool {
		for n := range f.size {
			if s, ok := f.status(n); !ok || len(s.Hosts) < largeFleet {
				return false
			}
		}
		return true
	})
	joined := hostlog.Host{
		Name: "service-1", Address: "127.0.0.1:1", Role: hostlog.RoleService, FailureDomain: "0",
		State: hostlog.StateLive, Incarnation: 1, Serves: []string{"stock"},
	}
	f.eventually("all hosts know the service", func() bool {
		must(t, f.platform.Announce(joined))
		return f.allKnow(joined.Name, true)
	})
	f.eventually("no host knows the service any more", func() bool { return f.allKnow(joined.Name, false) })
}
