package forward_test

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/forward"
	"bulrushshed/ingress"
)

// answers of one replica.
var (
	good    = func(forward.Send) (*forward.UpstreamResponse, error) { return whole(200, "ok"), nil }
	failed  = func(forward.Send) (*forward.UpstreamResponse, error) { return whole(500, "no"), nil }
	broken  = func(forward.Send) (*forward.UpstreamResponse, error) { return nil, errors.New("reset") }
	unsent  = func(forward.Send) (*forward.UpstreamResponse, error) { return nil, forward.ErrNotSent }
	refused = func(forward.Send) (*forward.UpstreamResponse, error) {
		a := whole(503, "")
		a.NotRun = true
		return a, nil
	}
	cut = func(forward.Send) (*forward.UpstreamResponse, error) {
		return &forward.UpstreamResponse{Status: 200, Body: io.NopCloser(&brokenReader{text: "o"}), Sealed: true}, nil
	}
	unsigned = func(forward.Send) (*forward.UpstreamResponse, error) {
		a := whole(200, "ok")
		a.Sealed = false
		return a, nil
	}
)

// Each case is what the replicas do with their requests, in the order in which
// they get them, and what the caller gets.
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
		{"unsafe, good", "unsafe", []answer{good}, 200, 1},
		{"unsafe, failed", "unsafe", []answer{failed, good}, 500, 1},
		{"unsafe, no answer", "unsafe", []answer{broken, good}, 502, 1},
		{"unsafe, cut answer", "unsafe", []answer{cut, good}, 502, 1},
		{"unsafe, not signed", "unsafe", []answer{unsigned, good}, 502, 1},
		{"unsafe, not run", "unsafe", []answer{refused, good}, 200, 2},
		{"unsafe, not run, one attempt", "once", []answer{refused, good}, 503, 1},
		{"unsafe, not run, then no answer", "unsafe", []answer{refused, broken, good}, 502, 2},
		{"unsafe, not sent", "unsafe", []answer{unsent, good}, 200, 2},
		{"unsafe, nobody reached", "unsafe", []answer{unsent, unsent, unsent}, 503, 3},
		{"safe, failed", "safe", []answer{failed, good}, 200, 2},
		{"safe, no answer", "safe", []answer{broken, good}, 200, 2},
		{"safe, cut answer", "safe", []answer{cut, good}, 200, 2},
		{"safe, not signed", "safe", []answer{unsigned, good}, 200, 2},
		{"safe, not run", "safe", []answer{refused, good}, 200, 2},
		{"safe, never run", "safe", []answer{refused, refused, good}, 503, 2},
		{"safe, perhaps run", "safe", []answer{broken, refused, good}, 502, 2},
		{"safe, failed twice", "safe", []answer{failed, failed, good}, 500, 2},
		{"safe, failed and broken", "safe", []answer{failed, broken, good}, 500, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(10)
				n := 0
				next := func(s forward.Send) (*forward.UpstreamResponse, error) {
					n++
					return c.answers[n-1](s)
				}
				for _, id := range []string{"p0", "p1", "p2"} {
					w.upstream.answers[id] = next
				}
				resp := w.forwarder.Do(t.Context(), request(c.rule))
				is.Equal(resp.Status, c.status)
				is.Equal(len(w.upstream.sent()), c.sends)
				is.Equal(resp.RetryAfter > 0, c.status == 503)
			})
		})
	}
}

// A safe request that a replica sits on goes to a second one, and each is told
// how much time is left when it is sent.
func TestASafeRequestIsHedged(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(10)
		for _, id := range []string{"p0", "p1", "p2"} {
			w.upstream.answers[id] = func(forward.Send) (*forward.UpstreamResponse, error) {
				if len(w.upstream.sent()) == 1 {
					time.Sleep(2 * time.Second)
				}
				return whole(200, "ok"), nil
			}
		}
		req := request("safe")
		resp := w.forwarder.Do(t.Context(), req)
		is.Equal(resp.Status, 200)
		is.Equal(time.Since(req.Arrived), 180*time.Millisecond) // 0.6 of the objective
		sent := w.upstream.sent()
		is.Equal(len(sent), 2)
		is.Equal(sent[0].Left-sent[1].Left, 180*time.Millisecond)
		time.Sleep(3 * time.Second) // the first send ends
	})
}

// A key that is taken away while a request is tried is not used again.
func TestAKeyIsCheckedBeforeEachSend(t *testing.T) {
	t.Parallel()
	without := config()
	without.Customers = []ingress.Customer{{Name: "ana", Keys: []string{"another"}}}
	for _, c := range []struct {
		name  string
		table *ingress.Table
		fresh bool
	}{
		{"taken away", ingress.NewTable(without), true},
		{"not fresh", ingress.NewTable(config()), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(10)
				for _, id := range []string{"p0", "p1", "p2"} {
					w.upstream.answers[id] = func(forward.Send) (*forward.UpstreamResponse, error) {
						w.tables.set(c.table, c.fresh)
						return refused(forward.Send{})
					}
				}
				resp := w.forwarder.Do(t.Context(), request("safe"))
				is.Equal(resp.Status, 503)
				is.Equal(len(w.upstream.sent()), 1)
			})
		})
	}
}

func TestWhoIsTurnedAway(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		change func(w *world, r *forward.Request)
		status int
	}{
		{"no such path", func(_ *world, r *forward.Request) { r.Target = "/other/x" }, http.StatusNotFound},
		{"no key", func(_ *world, r *forward.Request) { r.Key = "" }, http.StatusUnauthorized},
		{"unknown key", func(_ *world, r *forward.Request) { r.Key = "guess" }, http.StatusUnauthorized},
		{"configuration not fresh", func(w *world, _ *forward.Request) { w.tables.set(ingress.NewTable(config()), false) }, http.StatusServiceUnavailable},
		{"no configuration", func(w *world, _ *forward.Request) { w.tables.set(nil, false) }, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(10)
				req := request("unsafe")
				c.change(w, req)
				resp := w.forwarder.Do(t.Context(), req)
				is.Equal(resp.Status, c.status)
				// Another host can serve it at once.
				is.Equal(resp.RetryAfter > 0 && resp.RetryAfter < 50*time.Millisecond, c.status == http.StatusServiceUnavailable)
				is.Equal(len(w.upstream.sent()), 0)
			})
		})
	}
}

// A host that has just started gets its configuration within moments.
func TestARequestWaitsForTheFirstConfiguration(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(10)
		w.tables.set(nil, false)
		time.AfterFunc(100*time.Millisecond, func() { w.tables.set(ingress.NewTable(config()), true) })
		is.Equal(w.forwarder.Do(t.Context(), request("unsafe")).Status, 200)
	})
}
