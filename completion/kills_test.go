package completion_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"bulrushshed/completion"
	"bulrushshed/engine"
	"bulrushshed/history"
	"bulrushshed/outcome"
	"bulrushshed/route"
	"bulrushshed/rule"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		// A run without a seed of its own repeats the last one.
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

const (
	tokens   = 8
	attempts = 200
)

// fleet is all engines, the planner and the network between; its tape decides
// what befalls each token.
type fleet struct {
	tape  []byte
	kills int
	// old are events of earlier attempts that are still under way.
	old []engine.Event
	// attempt is the live one; its tokens carry its number, as those of an
	// engine that samples would differ.
	attempt int
	// wrong is what the runner asked for that it must not, or "".
	wrong string
	got   []history.Token
	hung  map[string]bool
}

func (f *fleet) next(n int) int {
	if len(f.tape) == 0 {
		return 0
	}
	b := f.tape[0]
	f.tape = f.tape[1:]
	return int(b) % n
}

type stream struct {
	events chan engine.Event
	err    error
}

func (s *stream) Events() <-chan engine.Event { return s.events }
func (s *stream) Err() error                  { return s.err }

var errKilled = errors.New("killed")

// Generate plays one attempt, of which all fates are drawn before it starts.
func (f *fleet) Generate(ctx context.Context, g engine.Generate, _ time.Duration) engine.Stream {
	f.attempt = g.Attempt
	if problem := history.CheckStream(f.got, g.Delivered); problem != "" {
		f.wrong = "delivered tokens: " + problem
	}
	s := &stream{events: make(chan engine.Event)}
	script, err, hang := f.script(g)
	go func() {
		defer close(s.events)
		s.err = err
		for _, e := range script {
			select {
			case s.events <- e:
			case <-ctx.Done():
				return
			}
		}
		if hang {
			<-ctx.Done()
		}
	}()
	return s
}

// script draws the events of one attempt. Beside its own, there come late ones
// of earlier attempts, repeated ones, and those of another request.
func (f *fleet) script(g engine.Generate) (script []engine.Event, failure error, hang bool) {
	own := func(kind engine.EventKind, position int, token string) engine.Event {
		return engine.Event{Kind: kind, RequestID: g.RequestID, Attempt: g.Attempt, Position: position, Token: token}
	}
	end := own(engine.EventEnd, tokens, "")
	for position := len(g.Delivered); position < tokens; position++ {
		token := own(engine.EventToken, position, text(position, g.Attempt))
		late := f.old
		// Whatever befalls this attempt, its token may come late to the next.
		f.old = append(f.old, token, end)
		switch f.next(12) {
		case 1:
			f.kills++
			return script, errKilled, false
		case 2:
			f.kills++
			e := own(engine.EventError, position, "")
			e.Endpoint, e.Reason = g.Route.Hops[f.next(2)].Endpoint, "stage died"
			if f.next(2) == 1 {
				e.From = g.Route.Hops[0].Endpoint
			}
			return append(script, e), nil, false
		case 3:
			f.kills++
			f.hung = map[string]bool{g.Route.Hops[f.next(2)].Endpoint: true}
			return script, nil, true
		case 4:
			f.kills++
			// The stage that hangs still answers probes.
			f.hung = nil
			return script, nil, true
		case 5:
			script = append(script, late...)
		case 6:
			if len(script) > 0 {
				script = append(script, script[len(script)-1])
			}
		case 7:
			script = append(script, engine.Event{
				Kind: engine.EventToken, RequestID: "another", Attempt: g.Attempt, Position: position, Token: "crossed",
			})
		case 8:
			f.kills++
			return append(script, own(engine.EventEnd, position, "")), nil, false
		case 9:
			f.kills++
			script = append(script, own(engine.EventToken, position+1, "skipped"))
			return script, errKilled, false
		case 10:
			f.kills++
			return script, engine.ErrNotRun, false
		}
		script = append(script, token)
	}
	return append(script, end), nil, false
}

// Probe finds an engine that hangs.
func (f *fleet) Probe(_ context.Context, address string) error {
	if f.hung[address] {
		return errKilled
	}
	return nil
}

// Plan gives two hops, or none now and then.
func (f *fleet) Plan(rule.Model, route.Constraints) (route.Route, func(), error) {
	if f.next(10) == 1 {
		return route.Route{}, nil, &route.Error{Op: "plan", Kind: route.KindNoRoute}
	}
	return route.Route{Model: "m", Version: "v", Hops: []route.Hop{
		{Endpoint: "e1", Address: "e1", Layers: route.Range{From: 0, To: 2}},
		{Endpoint: "e2", Address: "e2", Layers: route.Range{From: 2, To: 3}},
	}}, func() {}, nil
}

func (f *fleet) SuspectLink(route.Link)            {}
func (f *fleet) Suspect(string, int64)             {}
func (f *fleet) Cancel([]route.Hop, engine.Cancel) {}
func (f *fleet) Resumed(string)                    {}
func (f *fleet) Dropped()                          {}

// Token takes what the caller gets.
func (f *fleet) Token(position int, token string) error {
	if want := text(position, f.attempt); token != want {
		f.wrong = fmt.Sprintf("got token %q, want %q", token, want)
	}
	f.got = append(f.got, history.Token{Position: position, Text: token})
	return nil
}

// run answers one request and returns what broke, or "".
func (f *fleet) run(ctx context.Context) string {
	r := completion.NewRunner(completion.Options{
		FirstGap: 10 * time.Second, TokenGap: 5 * time.Second, ProbeAfter: 250 * time.Millisecond,
		ProbeTimeout: 250 * time.Millisecond, Attempts: attempts, Pause: 50 * time.Millisecond, RouteWait: 5 * time.Second,
	}, f, f, f, f, slog.New(slog.DiscardHandler))
	err := r.Run(ctx, completion.Request{
		ID: "r", Model: rule.Model{Name: "m"}, Prompt: "p", MaxTokens: tokens, Deadline: time.Now().Add(time.Hour),
	}, f)
	if f.wrong != "" {
		return f.wrong
	}
	for i, t := range f.got {
		if t.Position != i {
			return fmt.Sprintf("got position %d, want %d", t.Position, i)
		}
	}
	if err == nil && len(f.got) != tokens {
		return fmt.Sprintf("got %d tokens, want %d", len(f.got), tokens)
	}
	if err == nil {
		return ""
	}
	var o *outcome.Error
	if !errors.As(err, &o) {
		return fmt.Sprintf("got %v, want an outcome", err)
	}
	if len(f.got) > 0 && o.Kind == outcome.NotRun {
		return "got not run behind tokens"
	}
	return ""
}

func text(position, attempt int) string { return fmt.Sprintf("%d by %d", position, attempt) }

// No token is lost, repeated or out of order, wherever a stage dies or hangs
// and whatever comes late.
func TestKillsAtAllPositions(t *testing.T) {
	t.Parallel()
	kills, whole := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		f := &fleet{tape: rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(rt, "tape")}
		var broken string
		synctest.Test(t, func(t *testing.T) { broken = f.run(t.Context()) })
		if broken != "" {
			rt.Fatal(broken)
		}
		kills += f.kills
		if len(f.got) == tokens {
			whole++
		}
	})
	t.Logf("%d kills, %d whole answers", kills, whole)
	if kills == 0 || whole == 0 {
		t.Fatalf("got %d kills and %d whole answers, want some", kills, whole)
	}
}
