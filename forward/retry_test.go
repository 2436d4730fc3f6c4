package forward_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/forward"
	"bulrushshed/ingress"
	"bulrushshed/retrybudget"
)

// retryTokens is a forward.RetryBudget with a number of tokens.
type retryTokens struct {
	mu   sync.Mutex
	left float64
	// retries are those that were asked for.
	retries []retrybudget.Retry
}

func (b *retryTokens) RecordRequest(string) {}

func (b *retryTokens) AllowRetry(_ context.Context, r retrybudget.Retry) retrybudget.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = append(b.retries, r)
	if b.left < 1 {
		return retrybudget.Decision{State: retrybudget.State{Own: b.left, Hosts: 1}}
	}
	b.left--
	return retrybudget.Decision{Allowed: true}
}

// The budget is told what it needs to put the retries in order, and a request that another
// replica may still answer does not wait for it.
func TestRetriesAskTheBudget(t *testing.T) {
	t.Parallel()
	notRun := func(forward.Send) (*forward.UpstreamResponse, error) {
		a := answerWith(503, "")
		a.NotRun = true
		return a, nil
	}
	slow := func(forward.Send) (*forward.UpstreamResponse, error) {
		time.Sleep(time.Second)
		return answerWith(200, "ok"), nil
	}
	for _, c := range []struct {
		name, rule string
		fail       func(f *fixture)
		want       retrybudget.Retry
	}{
		{"plain request refused", "safe", func(f *fixture) {
			for _, id := range []string{"p0", "p1", "p2"} {
				f.upstream.answers[id] = notRun
			}
		}, retrybudget.Retry{Service: "plain", Priority: 3}},
		{"plain request hedged", "safe", func(f *fixture) {
			for _, id := range []string{"p0", "p1", "p2"} {
				f.upstream.answers[id] = slow
			}
		}, retrybudget.Retry{Service: "plain", Priority: 3, NoWait: true}},
		{"stream refused", "stream", func(f *fixture) {
			f.upstream.answers["e0"], f.upstream.answers["e1"] = notRun, notRun
		}, retrybudget.Retry{Service: "model", Priority: 3}},
		{"stream broken", "stream", func(f *fixture) {
			broken := func(forward.Send) (*forward.UpstreamResponse, error) {
				return answerWith(200, "id: 1\ndata: t\n\nid: 7\ndata: t\n\n"), nil
			}
			f.upstream.answers["e0"], f.upstream.answers["e1"] = broken, broken
		}, retrybudget.Retry{Service: "model", Priority: 3, Begun: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(0)
				cfg := config()
				for i := range cfg.Rules {
					cfg.Rules[i].Priority = 3
				}
				f.tables.set(ingress.NewTable(cfg), true)
				tokens := &retryTokens{left: 1}
				f.forwarder.Budget = tokens
				c.fail(f)
				resp := f.forwarder.Do(t.Context(), request(c.rule))
				_, err := io.ReadAll(resp.Body)
				is.True(err == nil || errors.Is(err, io.ErrUnexpectedEOF))
				is.Equal(tokens.retries[0], c.want)
				time.Sleep(2 * time.Second) // until the other send has ended
			})
		})
	}
}

// The last line of a request that the budget refused has the state of the account.
func TestRefusalByTheBudgetIsExplained(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(0.25)
		var lines strings.Builder
		f.forwarder.Log = slog.New(slog.NewTextHandler(&lines, nil))
		for _, id := range []string{"p0", "p1", "p2"} {
			f.upstream.answers[id] = func(forward.Send) (*forward.UpstreamResponse, error) {
				a := answerWith(503, "")
				a.NotRun = true
				return a, nil
			}
		}
		resp := f.forwarder.Do(t.Context(), request("safe"))
		is.Equal(resp.Status, 503)
		is.True(resp.RetryAfter > 0)
		is.True(strings.Contains(lines.String(), "cause=budget sends=1 took_ms=0 own=0.25 borrowed=0 spent=0 hosts=1"))
	})
}
