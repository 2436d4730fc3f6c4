package forward_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/forward"
	"bulrushshed/replica"
	"bulrushshed/route"
	"bulrushshed/usage"
)

// finding is what a host told the others.
type finding struct {
	engine usage.EngineID
	kind   usage.Kind
	left   time.Duration
}

// findings records what a host tells the others.
type findings struct {
	mu  sync.Mutex
	all []finding
}

func (f *findings) Find(e usage.EngineID, k usage.Kind, until, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := finding{engine: e, kind: k}
	if k == usage.Full {
		found.left = until.Sub(now)
	}
	f.all = append(f.all, found)
}

// of returns the findings of a kind.
func (f *findings) of(k usage.Kind) (all []finding) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, found := range f.all {
		if found.kind == k {
			all = append(all, found)
		}
	}
	return all
}

func engineID(address string) usage.EngineID { return usage.NewEngineID(address, address+"/1") }

// Other hosts would each find out that an engine is down or full, so the first one must
// tell them which, and only that.
func TestFindingsAboutEnginesAreTold(t *testing.T) {
	t.Parallel()
	refuse := func(status int, engine string) func(forward.Send) (*forward.UpstreamResponse, error) {
		return func(forward.Send) (*forward.UpstreamResponse, error) {
			a := answerWith(status, "")
			a.NotRun, a.FailedEngine = true, engine
			return a, nil
		}
	}
	full := func(address string) []finding {
		return []finding{{engineID(address), usage.Full, 300 * time.Millisecond}}
	}
	for _, c := range []struct {
		name string
		// answer is that of the engines that hold the first layers, or nil.
		answer func(forward.Send) (*forward.UpstreamResponse, error)
		// down is an engine that stops to answer while a stream runs, or "".
		down     string
		wantDown []finding
		wantFull []finding
	}{
		{name: "no failure"},
		{name: "engine goes down", down: "e2", wantDown: []finding{{engine: engineID("e2"), kind: usage.Down}}},
		{name: "first engine is full", answer: refuse(503, ""), wantFull: full("e0")},
		{name: "other engine is full", answer: refuse(503, "e2"), wantFull: full("e2")},
		{name: "first engine is another one", answer: refuse(421, "")},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(100)
				f.upstream.answers["e0"] = c.answer
				f.upstream.takeDown("e1") // the path begins at e0
				f.forwarder.Planner.Suspect("e1", time.Now().Add(time.Hour))
				f.forwarder.Planner.Suspect("e3", time.Now().Add(100*time.Millisecond))
				if c.down != "" {
					time.AfterFunc(4*eventInterval, func() { f.upstream.takeDown(c.down) })
				}
				resp := f.forwarder.Do(t.Context(), request("stream"))
				if resp.Status == 200 {
					_, _ = readEvents(t, resp)
				}
				down := slices.CompactFunc(f.findings.of(usage.Down), func(a, b finding) bool { return a == b })
				is.Equal(down, c.wantDown)
				got := f.findings.of(usage.Full)
				is.Equal(got[:min(len(got), 1)], c.wantFull)
				if c.answer == nil {
					is.True(slices.Contains(f.findings.of(usage.Back), finding{engine: engineID("e0"), kind: usage.Back}))
				}
			})
		})
	}
}

// A host that has lost its own links finds all engines down, and must not tell the others so.
func TestIsolatedHostTellsNoFindings(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(100)
		f.upstream.events = 100
		const stages = 12
		for i := range 4 {
			f.replicas.Remove(fmt.Sprintf("e%d", i), time.Now())
		}
		for i := range stages {
			id := fmt.Sprintf("x%d", i)
			f.replicas.Put(replica.Replica{ID: id, Service: "model", Address: id, FailureDomain: "a", Started: 1, Accelerator: "small", Layers: route.Range{From: i % layers, To: i%layers + 1}, Slots: 8})
		}
		for range 3 {
			go func() {
				resp := f.forwarder.Do(t.Context(), request("stream"))
				_, _ = readEvents(t, resp)
			}()
		}
		time.Sleep(10 * eventInterval)
		for i := range stages {
			f.upstream.takeDown(fmt.Sprintf("x%d", i))
		}
		time.Sleep(5 * time.Second)
		is.Equal(len(f.findings.of(usage.Down)), 0)
	})
}
