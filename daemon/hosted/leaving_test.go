package hosted_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// spreadTime is more than what the hosts need to tell each other of a replica.
const spreadTime = time.Second

// testLeaving makes a replica say in its answers, but not in its entry, that it leaves. It
// fails if any host sends the replica a request after one host has passed on such an
// answer and had time to tell the others.
func testLeaving(t *testing.T, path string, replicaOf func(f *fleet) *replicaStandIn) {
	f := newServingFleet(t, 3)
	leaving := replicaOf(f)
	leaving.set(func(r *replicaStandIn) { r.leaving = true })
	before := leaving.arrivalCount()
	await(t, "answer of the leaving replica", func() bool {
		f.hosts[0].request(t, "POST", path, "k1")
		return leaving.arrivalCount() > before
	})
	time.Sleep(spreadTime)
	before = leaving.arrivalCount()
	for n := range 60 {
		is.New(t).Equal(statusOf(f.hosts[n%3].request(t, "POST", path, "k1")), 200)
	}
	is.New(t).Equal(leaving.arrivalCount(), before)
}

func TestPlainReplicaThatAnnouncesItsLeavingGetsNoMore(t *testing.T) {
	t.Parallel()
	testLeaving(t, "/stock/1", func(f *fleet) *replicaStandIn { return f.plain[0] })
}

func TestEngineThatAnnouncesItsLeavingGetsNoMore(t *testing.T) {
	t.Parallel()
	testLeaving(t, "/draft/1", func(f *fleet) *replicaStandIn { return f.firstEngine(t) })
}

// waitSeconds is the wait that replicas of the test name; callers return later than that.
const (
	waitSeconds = "2"
	wait        = 2 * time.Second
	// requestsDuringWait is the number of requests per host that may reach a replica from
	// when it has first refused one of the host's requests to the end of its wait. Some may
	// have been under way.
	requestsDuringWait = 2
)

// testWait makes replicas refuse requests and name a wait. It fails if one of them gets
// more requests than those under way before the wait ends, or none after it.
func testWait(t *testing.T, path string, replicasOf func(f *fleet) []*replicaStandIn) {
	f := newServingFleet(t, 3)
	busy := replicasOf(f)
	before := map[*replicaStandIn]int{}
	for _, r := range busy {
		before[r] = r.arrivalCount()
		r.set(func(r *replicaStandIn) { r.retryAfter = waitSeconds })
	}
	// began precedes all waits, which end at began + wait at the earliest.
	began := time.Now()
	for n := 0; time.Since(began) < wait-200*time.Millisecond; n++ {
		is.New(t).Equal(statusOf(f.hosts[n%3].request(t, "POST", path, "k1")), 503)
		time.Sleep(10 * time.Millisecond)
	}
	for _, r := range busy {
		got := r.arrivalCount() - before[r]
		if got == 0 || got > 3*requestsDuringWait {
			t.Errorf("got %d requests during the wait, want 1 to %d", got, 3*requestsDuringWait)
		}
		r.set(func(r *replicaStandIn) { r.retryAfter = "" })
	}
	await(t, "response 200 after the wait", func() bool {
		return statusOf(f.hosts[0].request(t, "POST", path, "k1")) == 200
	})
}

func TestPlainReplicasThatNameAWaitGetNoRequests(t *testing.T) {
	t.Parallel()
	testWait(t, "/stock/1", func(f *fleet) []*replicaStandIn { return f.plain })
}

func TestEnginesThatNameAWaitGetNoRequests(t *testing.T) {
	t.Parallel()
	testWait(t, "/draft/1", func(f *fleet) []*replicaStandIn { return f.engines })
}

// A host that connects to a replica for another host is bound by the wait that either of
// them was told: the replica takes both for one.
func TestWaitBindsRelayingHost(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 2)
	cutOff, relaying := f.hosts[0], f.hosts[1]
	cutOff.links.set(cutRefusing)
	await(t, "responses during the cut", func() bool { return servedEverything(t, cutOff) })
	for _, r := range f.plain {
		r.set(func(r *replicaStandIn) { r.retryAfter = waitSeconds })
	}
	began := time.Now()
	is.New(t).Equal(statusOf(cutOff.request(t, "POST", "/stock/1", "k1")), 503)
	time.Sleep(spreadTime / 2)
	before := f.plain[0].arrivalCount() + f.plain[1].arrivalCount()
	for time.Since(began) < wait-200*time.Millisecond {
		is.New(t).Equal(statusOf(relaying.request(t, "POST", "/stock/1", "k1")), 503)
		is.New(t).Equal(statusOf(cutOff.request(t, "POST", "/stock/1", "k1")), 503)
		time.Sleep(10 * time.Millisecond)
	}
	is.New(t).Equal(f.plain[0].arrivalCount()+f.plain[1].arrivalCount(), before)
	cutOff.links.set(cutNone)
}

// Retry-After values that are no number of seconds must not keep a replica from use.
func TestOddWaitsAreHarmless(t *testing.T) {
	t.Parallel()
	for _, odd := range []string{"-5", "NaN", "Fri, 31 Dec 2027 23:59:59 GMT", "0", "soon", "1,2"} {
		t.Run(odd, func(t *testing.T) {
			t.Parallel()
			f := newServingFleet(t, 1)
			for _, r := range f.plain {
				r.set(func(r *replicaStandIn) { r.retryAfter = odd })
			}
			is.New(t).Equal(statusOf(f.hosts[0].request(t, "POST", "/stock/1", "k1")), 503)
			for _, r := range f.plain {
				r.set(func(r *replicaStandIn) { r.retryAfter = "" })
			}
			is.New(t).Equal(statusOf(f.hosts[0].request(t, "POST", "/stock/1", "k1")), 200)
		})
	}
}

// firstEngine returns the engine that receives the streams of the first host.
func (f *fleet) firstEngine(t *testing.T) *replicaStandIn {
	t.Helper()
	var first *replicaStandIn
	await(t, "an engine that receives streams", func() bool {
		before := map[*replicaStandIn]int{}
		for _, e := range f.engines {
			before[e] = e.arrivalCount()
		}
		f.hosts[0].request(t, "POST", "/draft/1", "k1")
		for _, e := range f.engines {
			if e.arrivalCount() > before[e] {
				first = e
			}
		}
		return first != nil
	})
	return first
}
