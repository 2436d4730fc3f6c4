package completion_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/completion"
	"bulrushshed/engine"
	"bulrushshed/gossip"
	"bulrushshed/outcome"
	"bulrushshed/ratelimit"
	"bulrushshed/route"
	"bulrushshed/rule"
)

// limitedEngines is a pipeline that starts at one engine, which names a limit.
type limitedEngines struct {
	simulatedEngines
	limits  *ratelimit.Limits
	rate    float64
	streams int
}

func (f *limitedEngines) Generate(ctx context.Context, g engine.Generate, timeout time.Duration) engine.Stream {
	f.streams++
	f.limits.Record(g.Route.Hops[0].EngineIncarnation(), ratelimit.Naming{Named: true, Rate: f.rate}, time.Now(), time.Now())
	return f.simulatedEngines.Generate(ctx, g, timeout)
}

// Plan returns the only route unless its engine is to be avoided.
func (f *limitedEngines) Plan(m rule.Model, c route.Constraints) (route.Route, func(), error) {
	r, release, err := f.simulatedEngines.Plan(m, route.Constraints{})
	if c.Avoid[r.Hops[0].Endpoint] {
		return route.Route{}, nil, &route.Error{Op: "plan", Kind: route.KindNoRoute}
	}
	return r, release, err
}

func TestStreamsStayWithinTheLimitOfAnEngine(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const requests, rate = 200, 3.0
		f := &limitedEngines{limits: ratelimit.NewLimits(func(gossip.Item) {}, slog.New(slog.DiscardHandler)), rate: rate}
		r := newRunnerWithLimits(f, 4, 100*time.Millisecond, f.limits)
		began := time.Now()
		refused := 0
		for i := range requests {
			f.delivered = nil
			err := r.Run(t.Context(), completion.Request{
				ID: fmt.Sprint(i), Model: rule.Model{Name: "m"}, Prompt: "p", MaxTokens: tokens, Deadline: time.Now().Add(time.Minute),
			}, f)
			var o *outcome.Error
			if errors.As(err, &o) {
				is.Equal(o.Kind, outcome.NotRun)
				is.Equal(o.Cause, outcome.CauseEndpointLimit)
				is.True(o.RetryAfter > 0)
				refused++
			}
			time.Sleep(50 * time.Millisecond)
		}
		lasted := time.Since(began).Seconds()
		is.Equal(f.streams+refused, requests)
		is.True(float64(f.streams) <= rate*lasted+5)
		is.True(float64(f.streams) >= 0.7*rate*lasted || refused == 0)
	})
}
