package completion_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/completion"
	"bulrushshed/engine"
	"bulrushshed/route"
	"bulrushshed/rule"
)

// slowEngines generates slowly on every route, although its plans say otherwise.
type slowEngines struct {
	simulatedEngines
	attempts int
}

const slowToken = 200 * time.Millisecond

func (f *slowEngines) Generate(ctx context.Context, g engine.Generate, _ time.Duration) engine.Stream {
	f.attempts++
	f.attempt = g.Attempt
	s := &stream{events: make(chan engine.Event)}
	go func() {
		defer close(s.events)
		for position := len(g.Delivered); position <= g.MaxTokens; position++ {
			time.Sleep(slowToken)
			e := engine.Event{
				Kind: engine.EventToken, RequestID: g.RequestID, Attempt: g.Attempt,
				Position: position, Token: tokenText(position, g.Attempt),
			}
			if position == g.MaxTokens {
				e.Kind = engine.EventEnd
			}
			select {
			case s.events <- e:
			case <-ctx.Done():
				return
			}
		}
	}()
	return s
}

// Plan returns routes whose planned token time is far too short.
func (f *slowEngines) Plan(m rule.Model, c route.Constraints) (route.Route, func(), error) {
	r, release, err := f.simulatedEngines.Plan(m, c)
	r.TokenTime = time.Millisecond
	return r, release, err
}

// A request that is slow on every route, as on hosts short of CPU time, is
// rerouted at most maxReroutes times and then completes on its last route.
func TestReroutesAreLimitedWhenAllRoutesAreSlow(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &slowEngines{}
		r := newRunner(f, 3, time.Second)
		const many = 60
		err := r.Run(t.Context(), completion.Request{
			ID: "r", Model: rule.Model{Name: "m"}, Prompt: "p", MaxTokens: many, Deadline: time.Now().Add(time.Hour),
		}, f)
		is.NoErr(err)
		is.Equal(f.violation, "")
		is.Equal(len(f.delivered), many)
		is.Equal(f.attempts, 3) // the first route and two others
	})
}
