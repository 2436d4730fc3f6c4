package completion_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/completion"
	"bulrushshed/engine"
	"bulrushshed/rule"
)

// stuckEngines repeat the first token without end in the first attempt.
type stuckEngines struct{ simulatedEngines }

func (f *stuckEngines) Generate(ctx context.Context, g engine.Generate, timeout time.Duration) engine.Stream {
	if g.Attempt > 1 {
		return f.simulatedEngines.Generate(ctx, g, timeout)
	}
	f.attempt = g.Attempt
	s := &stream{events: make(chan engine.Event)}
	go func() {
		defer close(s.events)
		for {
			select {
			case s.events <- engine.Event{Kind: engine.EventToken, RequestID: g.RequestID, Attempt: g.Attempt, Token: tokenText(0, g.Attempt)}:
				time.Sleep(100 * time.Millisecond)
			case <-ctx.Done():
				return
			}
		}
	}()
	return s
}

func (f *stuckEngines) Probe(context.Context, string) error { return nil }

func TestRepeatedTokensDoNotKeepAnAttemptAlive(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &stuckEngines{}
		r := newRunner(f, 3, time.Second)
		err := r.Run(t.Context(), completion.Request{
			ID: "r", Model: rule.Model{Name: "m"}, Prompt: "p", MaxTokens: tokens, Deadline: time.Now().Add(time.Minute),
		}, f)
		is.NoErr(err)
		is.Equal(f.violation, "")
		is.Equal(len(f.delivered), tokens)
		time.Sleep(time.Second) // the abandoned attempt ends
	})
}
