package forward_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/forward"
	"bulrushshed/ingress"
)

// Behaviours of one replica.
var (
	succeed         = func(forward.Send) (*forward.UpstreamResponse, error) { return answerWith(200, "ok"), nil }
	fail            = func(forward.Send) (*forward.UpstreamResponse, error) { return answerWith(500, "no"), nil }
	resetConnection = func(forward.Send) (*forward.UpstreamResponse, error) { return nil, errors.New("reset") }
	unreachable     = func(forward.Send) (*forward.UpstreamResponse, error) { return nil, forward.ErrNotSent }
	refuse          = func(forward.Send) (*forward.UpstreamResponse, error) {
		a := answerWith(503, "")
		a.NotRun = true
		return a, nil
	}
	truncate = func(forward.Send) (*forward.UpstreamResponse, error) {
		return &forward.UpstreamResponse{Status: 200, Body: io.NopCloser(&brokenReader{text: "o"}), Signed: true}, nil
	}
	omitSignature = func(forward.Send) (*forward.UpstreamResponse, error) {
		a := answerWith(200, "ok")
		a.Signed = false
		return a, nil
	}
)

// Each case lists what the replicas do with the sends, in order, and the status that the
// caller receives.
func TestPlainRequests(t *testing.T) {
	t.Parallel()
	type answer = func(forward.Send) (*forward.UpstreamResponse, error)
	for _, c := range []struct {
		name    string
		rule    string
		answers []answer
		status  int
		sends   int
	}{
		{"unsafe, success", "unsafe", []answer{succeed}, 200, 1},
		{"unsafe, failed", "unsafe", []answer{fail, succeed}, 500, 1},
		{"unsafe, no answer", "unsafe", []answer{resetConnection, succeed}, 502, 1},
		{"unsafe, truncated answer", "unsafe", []answer{truncate, succeed}, 502, 1},
		{"unsafe, unsigned", "unsafe", []answer{omitSignature, succeed}, 502, 1},
		{"unsafe, not run", "unsafe", []answer{refuse, succeed}, 200, 2},
		{"unsafe, not run, one attempt", "once", []answer{refuse, succeed}, 503, 1},
		{"unsafe, not run, then no answer", "unsafe", []answer{refuse, resetConnection, succeed}, 502, 2},
		{"unsafe, not sent", "unsafe", []answer{unreachable, succeed}, 200, 2},
		{"unsafe, no replica reachable", "unsafe", []answer{unreachable, unreachable, unreachable}, 503, 3},
		{"safe, failed", "safe", []answer{fail, succeed}, 200, 2},
		{"safe, no answer", "safe", []answer{resetConnection, succeed}, 200, 2},
		{"safe, truncated answer", "safe", []answer{truncate, succeed}, 200, 2},
		{"safe, unsigned", "safe", []answer{omitSignature, succeed}, 200, 2},
		{"safe, not run", "safe", []answer{refuse, succeed}, 200, 2},
		{"safe, never run", "safe", []answer{refuse, refuse, succeed}, 503, 2},
		{"safe, possibly run", "safe", []answer{resetConnection, refuse, succeed}, 502, 2},
		{"safe, failed twice", "safe", []answer{fail, fail, succeed}, 500, 2},
		{"safe, failed and broken", "safe", []answer{fail, resetConnection, succeed}, 500, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(10)
				n := 0
				next := func(s forward.Send) (*forward.UpstreamResponse, error) {
					n++
					return c.answers[n-1](s)
				}
				for _, id := range []string{"p0", "p1", "p2"} {
					f.upstream.answers[id] = next
				}
				resp := f.forwarder.Do(t.Context(), request(c.rule))
				is.Equal(resp.Status, c.status)
				is.Equal(len(f.upstream.sent()), c.sends)
				is.Equal(resp.RetryAfter > 0, c.status == 503)
			})
		})
	}
}

// Guards against a status that promises that a request did not run, where its replica did not
// state that. A request that may run more than once is retried instead.
func TestUnstatedRefusalPromisesNothing(t *testing.T) {
	t.Parallel()
	for _, status := range []int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	} {
		for rule, sends := range map[string]int{"unsafe": 1, "safe": 2, "stream": 1} {
			t.Run(fmt.Sprint(rule, status), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFixture(10)
					cfg := config()
					cfg.Rules[0].Resumable = false // the rule of streams
					f.tables.set(ingress.NewTable(cfg), true)
					for _, id := range []string{"p0", "p1", "p2", "e0", "e1"} {
						f.upstream.answers[id] = func(forward.Send) (*forward.UpstreamResponse, error) { return answerWith(status, "no"), nil }
					}
					resp := f.forwarder.Do(t.Context(), request(rule))
					is.Equal(resp.Status, http.StatusBadGateway)
					is.Equal(len(resp.Header), 0)
					is.Equal(resp.RetryAfter, time.Duration(0))
					is.Equal(len(f.upstream.sent()), sends)
				})
			})
		}
	}
}

// A safe request that a replica delays is also sent to a second one. Each send carries
// the time left when it is sent.
func TestSafeRequestIsHedged(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10)
		for _, id := range []string{"p0", "p1", "p2"} {
			f.upstream.answers[id] = func(forward.Send) (*forward.UpstreamResponse, error) {
				if len(f.upstream.sent()) == 1 {
					time.Sleep(2 * time.Second)
				}
				return answerWith(200, "ok"), nil
			}
		}
		req := request("safe")
		resp := f.forwarder.Do(t.Context(), req)
		is.Equal(resp.Status, 200)
		is.Equal(time.Since(req.Arrived), 180*time.Millisecond) // 0.6 of the objective
		sent := f.upstream.sent()
		is.Equal(len(sent), 2)
		is.Equal(sent[0].TimeLeft-sent[1].TimeLeft, 180*time.Millisecond)
		time.Sleep(3 * time.Second) // the first send ends
	})
}

// A key that is revoked while a request is being tried is not used again.
func TestAKeyIsCheckedBeforeEachSend(t *testing.T) {
	t.Parallel()
	revoked := config()
	revoked.Customers = []ingress.Customer{{Name: "ana", Keys: []string{"another"}}}
	for _, c := range []struct {
		name  string
		table *ingress.Table
		fresh bool
	}{
		{"revoked", ingress.NewTable(revoked), true},
		{"not fresh", ingress.NewTable(config()), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(10)
				for _, id := range []string{"p0", "p1", "p2"} {
					f.upstream.answers[id] = func(forward.Send) (*forward.UpstreamResponse, error) {
						f.tables.set(c.table, c.fresh)
						return refuse(forward.Send{})
					}
				}
				resp := f.forwarder.Do(t.Context(), request("safe"))
				is.Equal(resp.Status, 503)
				is.Equal(len(f.upstream.sent()), 1)
			})
		})
	}
}

func TestRejectedRequests(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		change func(f *fixture, r *forward.Request)
		status int
	}{
		{"no such path", func(_ *fixture, r *forward.Request) { r.Target = "/other/x" }, http.StatusNotFound},
		{"no key", func(_ *fixture, r *forward.Request) { r.Key = "" }, http.StatusUnauthorized},
		{"unknown key", func(_ *fixture, r *forward.Request) { r.Key = "guess" }, http.StatusUnauthorized},
		{"configuration not fresh", func(f *fixture, _ *forward.Request) { f.tables.set(ingress.NewTable(config()), false) }, http.StatusServiceUnavailable},
		{"no configuration", func(f *fixture, _ *forward.Request) { f.tables.set(nil, false) }, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(10)
				req := request("unsafe")
				c.change(f, req)
				// The header alone decides, except that a request waits for the first
				// configuration.
				screened := f.forwarder.Screen(req)
				is.Equal(screened != nil, c.name != "no configuration")
				is.True(screened == nil || screened.Status == c.status)
				resp := f.forwarder.Do(t.Context(), req)
				is.Equal(resp.Status, c.status)
				// Another host can serve the request at once.
				is.Equal(resp.RetryAfter > 0 && resp.RetryAfter < 50*time.Millisecond, c.status == http.StatusServiceUnavailable)
				is.Equal(len(f.upstream.sent()), 0)
			})
		})
	}
}

// A host that has just started receives its configuration shortly afterwards.
func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10)
		f.tables.set(nil, false)
		time.AfterFunc(100*time.Millisecond, func() { f.tables.set(ingress.NewTable(config()), true) })
		is.Equal(f.forwarder.Do(t.Context(), request("unsafe")).Status, 200)
	})
}
