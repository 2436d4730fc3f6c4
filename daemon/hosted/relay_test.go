package hosted_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// servedEverything reports whether a host serves a plain request, one that may run once,
// and a whole stream.
func servedEverything(t *testing.T, h *entryHost) bool {
	t.Helper()
	if statusOf(h.request(t, "GET", "/stock/1", "k1")) != 200 || statusOf(h.request(t, "POST", "/confirm/1", "k1")) != 200 {
		return false
	}
	status, body := h.request(t, "POST", "/draft/1", "k1")
	return status == 200 && strings.Count(body, "id: ") == 20
}

// newServingFleet returns a fleet whose hosts know each other and serve everything.
func newServingFleet(t *testing.T, hosts int) *fleet {
	t.Helper()
	f := newFleet(t, hosts)
	f.awaitServing(t)
	return f
}

// awaitServing waits until all hosts know each other and serve everything.
func (f *fleet) awaitServing(t *testing.T) {
	t.Helper()
	for _, h := range f.hosts {
		await(t, "directory response with all hosts", func() bool { return len(h.addresses(t)) == len(f.hosts) })
		await(t, "response 200 to all kinds of requests", func() bool { return servedEverything(t, h) })
	}
}

// The callers of a host that has lost its links to all replicas are served through other
// hosts, and directly again after the cut.
func TestHostCutFromReplicasServesThroughOthers(t *testing.T) {
	t.Parallel()
	for _, c := range []cut{cutSilent, cutReset, cutRefusing} {
		t.Run(string(c), func(t *testing.T) {
			t.Parallel()
			f := newServingFleet(t, 3)
			h := f.hosts[0]
			h.links.set(c)
			before := h.links.directCount()
			await(t, "responses during the cut", func() bool { return servedEverything(t, h) })
			for range 20 {
				if !servedEverything(t, h) {
					t.Fatal("got a request that was not served during the cut, want all served")
				}
			}
			is.New(t).Equal(h.links.directCount(), before)
			h.links.set(cutNone)
			await(t, "direct connections after the cut", func() bool {
				before := h.links.directCount()
				return servedEverything(t, h) && h.links.directCount() >= before+3
			})
		})
	}
}

// A stream that runs when the cut begins goes on through another host.
func TestRunningStreamOutlivesCut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newServingFleet(t, 3)
	for _, e := range f.engines {
		e.eventInterval = 50 * time.Millisecond
	}
	h := f.hosts[0]
	time.AfterFunc(300*time.Millisecond, func() { h.links.set(cutSilent) })
	status, body := h.request(t, "POST", "/draft/1", "k1")
	is.Equal(status, 200)
	is.Equal(strings.Count(body, "id: 20\n"), 1)
	h.links.set(cutNone)
}

// Nobody reaches the replicas: requests are refused, not held, and served after the cut.
func TestAllHostsCutFromReplicas(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newServingFleet(t, 2)
	for _, h := range f.hosts {
		h.links.set(cutSilent)
	}
	for _, h := range f.hosts {
		await(t, "refusal", func() bool { return statusOf(h.request(t, "POST", "/confirm/1", "k1")) == 503 })
		is.Equal(statusOf(h.request(t, "POST", "/draft/1", "k1")), 503)
	}
	for _, h := range f.hosts {
		h.links.set(cutNone)
		await(t, "responses after the cut", func() bool { return servedEverything(t, h) })
	}
}

// A host that stops goes on relaying the streams of other hosts until they end.
func TestStoppingHostRelaysToTheEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 0)
	f.grace = 5 * time.Second
	for i := range 2 {
		f.hosts = append(f.hosts, f.start(t, i))
	}
	f.awaitServing(t)
	for _, e := range f.engines {
		// The stream ends after the host has stopped to accept requests, and long before its
		// grace period ends.
		e.eventInterval = 95 * time.Millisecond
	}
	h, relaying := f.hosts[0], f.hosts[1]
	h.links.set(cutRefusing)
	await(t, "response 200 during the cut", func() bool { return statusOf(h.request(t, "GET", "/stock/1", "k1")) == 200 })
	time.AfterFunc(300*time.Millisecond, relaying.stop)
	status, body := h.request(t, "POST", "/draft/1", "k1")
	is.Equal(status, 200)
	is.Equal(strings.Count(body, "id: 20\n"), 1)
	h.links.set(cutNone)
}
