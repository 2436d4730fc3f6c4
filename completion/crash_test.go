package completion_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/completion"
	"bulrushshed/engine"
	"bulrushshed/outcome"
	"bulrushshed/route"
	"bulrushshed/rule"
)

// crashingEngines are engines that crash when they begin to answer a prompt with the
// deadly beginning. A crashed engine does not answer the next probe.
type crashingEngines struct {
	simulatedEngines
	deadly  string
	crashes int
	down    bool
}

func (f *crashingEngines) Generate(ctx context.Context, g engine.Generate, timeout time.Duration) engine.Stream {
	if f.deadly == "" || !strings.HasPrefix(g.Prompt, f.deadly) {
		f.down = false
		return f.simulatedEngines.Generate(ctx, g, timeout)
	}
	f.crashes++
	f.down = true
	s := &stream{events: make(chan engine.Event), err: errFailed}
	close(s.events)
	return s
}

// Plan returns a route to engines that have restarted after each crash.
func (f *crashingEngines) Plan(m rule.Model, c route.Constraints) (route.Route, func(), error) {
	r, release, err := f.simulatedEngines.Plan(m, c)
	r.Hops[0].Incarnation = int64(f.crashes)
	return r, release, err
}

func (f *crashingEngines) Probe(context.Context, string) error {
	if f.down {
		return errors.New("connection refused")
	}
	return nil
}

// Prompts with a deadly beginning keep arriving beside sound ones.
func TestPromptsThatCrashEnginesAreContained(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const rounds, maxCrashes = 100, 5
		common := strings.Repeat("instructions for all requests. ", 8)
		f := &crashingEngines{deadly: common + strings.Repeat("deadly ", 40)}
		r := newRunner(f, 4, time.Second)
		run := func(id, prompt string) error {
			f.delivered = nil
			return r.Run(t.Context(), completion.Request{
				ID: id, Model: rule.Model{Name: "m"}, Prompt: prompt, MaxTokens: tokens, Deadline: time.Now().Add(time.Minute),
			}, f)
		}
		refused := 0
		for i := range rounds {
			is.NoErr(run(fmt.Sprint("sound-", i), common+strings.Repeat(fmt.Sprint("note ", i), 30)))
			err := run(fmt.Sprint("deadly-", i), f.deadly+fmt.Sprint("note ", i))
			var o *outcome.Error
			is.True(errors.As(err, &o))
			if o.Kind == outcome.NotRun {
				is.Equal(o.Cause, outcome.CauseQuarantined)
				is.True(o.RetryAfter > 0)
				refused++
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.True(f.crashes <= maxCrashes)
		is.True(refused >= rounds-maxCrashes)
	})
}
