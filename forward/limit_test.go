package forward_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/forward"
	"bulrushshed/ratelimit"
	"bulrushshed/replica"
)

// limit makes replicas name a limit, in requests per second.
func (f *fixture) limit(rate float64, addresses ...string) {
	for _, address := range addresses {
		r, _ := f.replicas.View().ByAddress(address)
		f.limits.Record(r.Incarnation(), ratelimit.Naming{Named: true, Rate: rate}, time.Now(), time.Now())
	}
}

// sentTo counts the requests that each replica has received.
func (u *upstream) sentTo() map[string]int {
	counts := map[string]int{}
	for _, s := range u.sent() {
		counts[s.Replica.Address]++
	}
	return counts
}

// sendAndRead sends a request and reads the answer to its end.
func (f *fixture) sendAndRead(t *testing.T, rule, id string) (resp *forward.Response) {
	t.Helper()
	req := request(rule)
	req.ID = id
	resp = f.forwarder.Do(t.Context(), req)
	_, _ = io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return resp
}

// What a limited replica does not take goes to the others.
func TestRequestsBeyondALimitGoToOtherReplicas(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		rule           string
		limited, other []string
	}{
		{"safe", []string{"p0", "p1"}, []string{"p2"}},
		{"unsafe", []string{"p0", "p1"}, []string{"p2"}},
		{"stream", []string{"e0"}, []string{"e1"}},
	} {
		t.Run(c.rule, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(0)
				f.limit(1, c.limited...)
				const requests = 12
				for range requests {
					is.Equal(f.sendAndRead(t, c.rule, "r").Status, 200)
				}
				counts := f.upstream.sentTo()
				for _, address := range c.limited {
					is.True(counts[address] <= 6) // 4 s at most, and one at once
				}
				total := 0
				for _, n := range counts {
					total += n
				}
				is.Equal(total, requests) // a limit costs no further send
			})
		})
	}
}

// If no replica takes a request, its caller is refused at once and told when to return.
func TestRequestThatNoReplicaTakesIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	for rule, replicas := range map[string][]string{"safe": {"p0", "p1", "p2"}, "unsafe": {"p0", "p1", "p2"}, "stream": {"e0", "e1"}} {
		t.Run(rule, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(10)
				f.limit(0.5, replicas...)
				for range replicas {
					is.Equal(f.forwarder.Do(t.Context(), request(rule)).Status, 200)
				}
				sent := len(f.upstream.sent())
				var last time.Duration
				for range 3 {
					began := time.Now()
					resp := f.sendAndRead(t, rule, "r")
					is.Equal(resp.Status, 503)
					is.Equal(time.Since(began), time.Duration(0))
					is.True(resp.RetryAfter > last) // another time for each
					last = resp.RetryAfter
				}
				is.Equal(len(f.upstream.sent()), sent)
				time.Sleep(last)
				is.Equal(f.sendAndRead(t, rule, "r").Status, 200)
				time.Sleep(time.Second) // streams end
			})
		})
	}
}

// A request waits for its turn if that is soon.
func TestRequestWaitsForItsTurn(t *testing.T) {
	t.Parallel()
	for rule, replicas := range map[string][]string{"safe": {"p0", "p1", "p2"}, "stream": {"e0", "e1"}} {
		t.Run(rule, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(10)
				f.limit(10, replicas...)
				waited := false
				for range 40 {
					req := request(rule)
					resp := f.forwarder.Do(t.Context(), req)
					is.Equal(resp.Status, 200)
					waited = waited || f.upstream.sent()[len(f.upstream.sent())-1].TimeLeft < 3*time.Second
				}
				is.True(waited)
				time.Sleep(time.Second) // streams end
			})
		})
	}
}

// A retry counts like a first send.
func TestRetryStaysWithinALimit(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(100)
		f.limit(0.5, "p1", "p2")
		f.upstream.answers["p0"] = fail
		for range 30 {
			resp := f.sendAndRead(t, "safe", "r")
			is.True(resp.Status == 200 || resp.Status == 500)
		}
		counts := f.upstream.sentTo()
		is.True(counts["p1"]+counts["p2"] <= 4)
	})
}

// A running stream resumes at a limited engine before others begin there.
func TestRunningStreamGoesFirstAtALimitedEngine(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10)
		resp := f.forwarder.Do(t.Context(), request("stream"))
		is.Equal(resp.Status, 200)
		first := f.upstream.sent()[0].Replica.Address
		other := map[string]string{"e0": "e1", "e1": "e0"}[first]
		f.limit(0.5, "e0", "e1")
		for _, e := range []string{"e0", "e1"} {
			r, _ := f.replicas.View().ByAddress(e)
			for f.limiter.Acquire(t.Context(), r.Incarnation(), ratelimit.Need{}).Granted {
				continue // the limits are used up
			}
		}
		is.Equal(f.sendAndRead(t, "stream", "another").Status, 503)
		f.upstream.takeDown(first)
		ids, err := readEvents(t, resp)
		is.NoErr(err)
		is.Equal(ids, idsUpTo(eventCount))
		is.Equal(f.upstream.sentTo()[other], 1)
	})
}

// An engine that takes no more requests is still found to be down or not.
func TestLimitedEngineIsCheckedWithoutARequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10)
		resp := f.forwarder.Do(t.Context(), request("stream"))
		sent := f.upstream.sent()[0]
		second, _ := f.replicas.View().ByAddress(sent.Path.Hops[1].Address)
		f.limit(0.5, second.Address)
		for f.limiter.Acquire(t.Context(), second.Incarnation(), ratelimit.Need{}).Granted {
			continue
		}
		f.upstream.takeDown(second.Address)
		ids, err := readEvents(t, resp)
		is.NoErr(err)
		is.Equal(ids, idsUpTo(eventCount))
		is.Equal(f.upstream.repaths, 1)
		is.Equal(f.upstream.reportsOf(second), 0)
	})
}

func (u *upstream) reportsOf(r replica.Replica) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.reports[r.Address]
}
