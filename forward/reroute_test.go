package forward_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/forward"
	"bulrushshed/replica"
	"bulrushshed/route"
)

// The second engine of the path stops answering: the stream is rerouted to the other
// engine that holds its layers, and the first engine continues.
func TestStreamIsReroutedOffDownEngine(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10)
		resp := f.forwarder.Do(t.Context(), request("stream"))
		f.upstream.takeDown(f.upstream.sent()[0].Path.Hops[1].Address)
		ids, err := readEvents(t, resp)
		is.NoErr(err)
		is.Equal(ids, idsUpTo(eventCount))
		is.Equal(f.upstream.repaths, 1)
		is.Equal(len(f.upstream.sent()), 1) // the attempt itself continues
	})
}

// Many engines down at once must be distinguished from a host that has lost its
// connections to all of them: streams are rerouted in the first case only.
func TestManyEnginesDownAtOnce(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		all      bool
		reroutes bool
	}{{"some engines", false, true}, {"all engines", true, false}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(0)
			f.replaceEngines(3)
			var responses []*forward.Response
			for i := range 2 {
				req := request("stream")
				req.ID = fmt.Sprint("stream-", i)
				responses = append(responses, f.forwarder.Do(t.Context(), req))
			}
			down := map[string]bool{}
			for _, s := range f.upstream.sent() {
				for i, h := range s.Path.Hops {
					if c.all || i > 0 {
						down[h.Address] = true
						f.upstream.takeDown(h.Address)
					}
				}
			}
			is.True(len(down) >= 4)
			downAt := time.Now()
			complete := make(chan bool, len(responses))
			for _, resp := range responses {
				go func() {
					ids, err := readEvents(t, resp)
					complete <- err == nil && len(ids) == eventCount
				}()
			}
			is.Equal(<-complete, c.reroutes)
			is.Equal(<-complete, c.reroutes)
			is.Equal(f.upstream.repaths > 0, c.reroutes)
			// Both are rerouted by the first checks, before callers notice.
			is.True(!c.reroutes || f.upstream.repathedAt.Sub(downAt) < 300*time.Millisecond)
		})
	}
}

// A refusal may not say which engine lacks capacity. Trying the same path again would
// pause the stream until that engine has some.
func TestRerouteAvoidsEnginesThatMayBeFull(t *testing.T) {
	t.Parallel()
	for _, down := range []int{1, 2} {
		t.Run(fmt.Sprint(down, " engines down"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(10)
				f.replaceEngines(4)
				resp := f.forwarder.Do(t.Context(), request("stream"))
				path := f.upstream.sent()[0].Path
				f.upstream.unnamed, f.upstream.refused, f.upstream.full = true, map[string]int{}, map[string]bool{}
				for i := range down {
					f.upstream.takeDown(path.Hops[1+i].Address)
				}
				for n := range 4 {
					if address := fmt.Sprintf("1-%d", n); address != path.Hops[1].Address && len(f.upstream.full) < 2 {
						f.upstream.full[address] = true
					}
				}
				ids, err := readEvents(t, resp)
				is.NoErr(err)
				is.Equal(ids, idsUpTo(eventCount))
				for address, n := range f.upstream.refused {
					if n > 1 {
						t.Errorf("got %d reroutes to the full engine %s, want at most 1", n, address)
					}
				}
				is.Equal(f.upstream.repaths, 1)
			})
		})
	}
}

// A stream is rerouted off a draining engine before the engine stops, without a new
// attempt.
func TestStreamIsReroutedOffDrainingEngine(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		leave func(f *fixture, r replica.Replica)
	}{
		{"draining", func(f *fixture, r replica.Replica) {
			r.Draining = true
			f.replicas.Put(r)
		}},
		{"no longer listed", func(f *fixture, r replica.Replica) { f.replicas.Remove(r.ID, time.Now()) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(10)
				f.upstream.events = 100
				began := time.Now()
				resp := f.forwarder.Do(t.Context(), request("stream"))
				address := f.upstream.sent()[0].Path.Hops[1].Address
				r, _ := f.replicas.View().ByAddress(address)
				c.leave(f, r)
				time.AfterFunc(2*time.Second, func() { f.upstream.takeDown(address) })
				ids, err := readEvents(t, resp)
				is.NoErr(err)
				is.Equal(ids, idsUpTo(100))
				is.Equal(f.upstream.repaths, 1)
				is.True(f.upstream.repathedAt.Sub(began) < 2*time.Second) // before the engine stopped
				is.Equal(len(f.upstream.sent()), 1)
			})
		})
	}
}

// A reroute that finds no capacity is retried. The attempt is not abandoned, as its other
// engines keep their KV cache of the stream.
func TestRerouteWithoutCapacityIsRetried(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10)
		// Engines of another version could run a new attempt, but not the rerouted one.
		for id, held := range map[string]route.Range{"e5": {From: 0, To: 2}, "e6": {From: 2, To: 4}} {
			f.replicas.Put(replica.Replica{
				ID: id, Service: "model", Address: id, FailureDomain: "b", Started: 1, Accelerator: "small", Layers: held, Version: 2,
			})
		}
		resp := f.forwarder.Do(t.Context(), request("stream"))
		path := f.upstream.sent()[0].Path
		other := map[string]string{"e2": "e3", "e3": "e2"}[path.Hops[1].Address]
		f.upstream.mu.Lock()
		f.upstream.full = map[string]bool{other: true}
		f.upstream.mu.Unlock()
		f.upstream.takeDown(path.Hops[1].Address)
		time.AfterFunc(500*time.Millisecond, func() {
			f.upstream.mu.Lock()
			defer f.upstream.mu.Unlock()
			f.upstream.full = nil
		})
		ids, err := readEvents(t, resp)
		is.NoErr(err)
		is.Equal(ids, idsUpTo(eventCount))
		is.Equal(f.upstream.repaths, 1)
		is.Equal(len(f.upstream.sent()), 1)
	})
}

// A slow attempt continues if the budget or the rule does not allow another one.
func TestSlowAttemptIsKeptWithoutAlternative(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, rule string
		budget     float64
	}{{"no budget", "stream", 0}, {"no attempt left", "single", 10}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(c.budget)
				slow := func(forward.Send) (*forward.UpstreamResponse, error) {
					time.Sleep(2 * time.Second)
					return answerWith(200, "id: 1\ndata: t\n\n"), nil
				}
				f.upstream.answers["e0"], f.upstream.answers["e1"] = slow, slow
				ids, err := readEvents(t, f.forwarder.Do(t.Context(), request(c.rule)))
				is.NoErr(err)
				is.Equal(ids, idsUpTo(1))
				is.Equal(len(f.upstream.sent()), 1)
			})
		})
	}
}
