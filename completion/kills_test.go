package completion_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
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
		// A fixed seed makes runs without -rapid.seed reproducible.
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

const (
	tokens   = 8
	attempts = 200
)

// simulatedEngines implements all engines, the planner and the network between
// them. Drawn choices decide which faults occur.
type simulatedEngines struct {
	choices  []byte
	failures int
	// lateEvents are events of earlier attempts that may still arrive.
	lateEvents []engine.Event
	// attempt is the current attempt. Its number is part of the token texts,
	// since an engine that samples generates other tokens in each attempt.
	attempt int
	// violation describes an invalid request or token of the runner, or is "".
	violation     string
	delivered     []history.Token
	hungEndpoints map[string]bool
}

func (f *simulatedEngines) choose(n int) int {
	if len(f.choices) == 0 {
		return 0
	}
	b := f.choices[0]
	f.choices = f.choices[1:]
	return int(b) % n
}

type stream struct {
	events chan engine.Event
	err    error
}

func (s *stream) Events() <-chan engine.Event { return s.events }
func (s *stream) Err() error                  { return s.err }

var errFailed = errors.New("killed")

// Generate simulates one attempt; all its faults are drawn before it starts.
func (f *simulatedEngines) Generate(ctx context.Context, g engine.Generate, _ time.Duration) engine.Stream {
	f.attempt = g.Attempt
	if problem := history.CheckStream(f.delivered, g.Delivered); problem != "" {
		f.violation = "delivered tokens: " + problem
	}
	s := &stream{events: make(chan engine.Event)}
	events, err, hangs := f.drawEvents(g)
	go func() {
		defer close(s.events)
		s.err = err
		for _, e := range events {
			select {
			case s.events <- e:
			case <-ctx.Done():
				return
			}
		}
		if hangs {
			<-ctx.Done()
		}
	}()
	return s
}

// drawEvents draws the events of one attempt. Besides its own events there may be
// late ones of earlier attempts, duplicates, and events of another request.
func (f *simulatedEngines) drawEvents(g engine.Generate) (events []engine.Event, failure error, hangs bool) {
	own := func(kind engine.EventKind, position int, token string) engine.Event {
		return engine.Event{Kind: kind, RequestID: g.RequestID, Attempt: g.Attempt, Position: position, Token: token}
	}
	end := own(engine.EventEnd, tokens, "")
	for position := len(g.Delivered); position < tokens; position++ {
		token := own(engine.EventToken, position, tokenText(position, g.Attempt))
		late := f.lateEvents
		// The token may arrive late, during a later attempt, whatever fault
		// follows.
		f.lateEvents = append(f.lateEvents, token, end)
		switch f.choose(12) {
		case 1:
			f.failures++
			return events, errFailed, false
		case 2:
			f.failures++
			e := own(engine.EventError, position, "")
			e.Endpoint, e.Reason = g.Route.Hops[f.choose(2)].Endpoint, "stage died"
			if f.choose(2) == 1 {
				e.From = g.Route.Hops[0].Endpoint
			}
			return append(events, e), nil, false
		case 3:
			f.failures++
			f.hungEndpoints = map[string]bool{g.Route.Hops[f.choose(2)].Endpoint: true}
			return events, nil, true
		case 4:
			f.failures++
			// The engine that hangs still answers probes.
			f.hungEndpoints = nil
			return events, nil, true
		case 5:
			events = append(events, late...)
		case 6:
			if len(events) > 0 {
				events = append(events, events[len(events)-1])
			}
		case 7:
			events = append(events, engine.Event{
				Kind: engine.EventToken, RequestID: "another", Attempt: g.Attempt, Position: position, Token: "crossed",
			})
		case 8:
			f.failures++
			return append(events, own(engine.EventEnd, position, "")), nil, false
		case 9:
			f.failures++
			events = append(events, own(engine.EventToken, position+1, "skipped"))
			return events, errFailed, false
		case 10:
			f.failures++
			return events, engine.ErrNotRun, false
		}
		events = append(events, token)
	}
	return append(events, end), nil, false
}

// Probe fails for an engine that hangs.
func (f *simulatedEngines) Probe(_ context.Context, address string) error {
	if f.hungEndpoints[address] {
		return errFailed
	}
	return nil
}

// Plan returns a route of two hops, or sometimes none.
func (f *simulatedEngines) Plan(rule.Model, route.Constraints) (route.Route, func(), error) {
	if f.choose(10) == 1 {
		return route.Route{}, nil, &route.Error{Op: "plan", Kind: route.KindNoRoute}
	}
	return route.Route{Model: "m", Version: "v", Hops: []route.Hop{
		{Endpoint: "e1", Address: "e1", Layers: route.Range{From: 0, To: 2}},
		{Endpoint: "e2", Address: "e2", Layers: route.Range{From: 2, To: 3}},
	}}, func() {}, nil
}

func (f *simulatedEngines) SuspectLink(route.Link)            {}
func (f *simulatedEngines) Suspect(string, int64)             {}
func (f *simulatedEngines) Cancel([]route.Hop, engine.Cancel) {}
func (f *simulatedEngines) Resumed(string)                    {}
func (f *simulatedEngines) Dropped()                          {}

// WriteToken records a token that the caller receives.
func (f *simulatedEngines) WriteToken(position int, token string) error {
	if want := tokenText(position, f.attempt); token != want {
		f.violation = fmt.Sprintf("got token %q, want %q", token, want)
	}
	f.delivered = append(f.delivered, history.Token{Position: position, Text: token})
	return nil
}

// run answers one request and describes the violated property, or returns "".
func (f *simulatedEngines) run(ctx context.Context) string {
	r := newRunner(f, attempts, 5*time.Second)
	err := r.Run(ctx, completion.Request{
		ID: "r", Model: rule.Model{Name: "m"}, Prompt: "p", MaxTokens: tokens, Deadline: time.Now().Add(time.Hour),
	}, f)
	if f.violation != "" {
		return f.violation
	}
	for i, t := range f.delivered {
		if t.Position != i {
			return fmt.Sprintf("got position %d, want %d", t.Position, i)
		}
	}
	if err == nil && len(f.delivered) != tokens {
		return fmt.Sprintf("got %d tokens, want %d", len(f.delivered), tokens)
	}
	if err == nil {
		return ""
	}
	var o *outcome.Error
	if !errors.As(err, &o) {
		return fmt.Sprintf("got error %v, want an *outcome.Error", err)
	}
	if len(f.delivered) > 0 && o.Kind == outcome.NotRun {
		return "got outcome not_run after tokens were delivered"
	}
	return ""
}

func tokenText(position, attempt int) string { return fmt.Sprintf("%d by %d", position, attempt) }

// No token is lost, repeated or out of order, at whichever position an engine dies
// or hangs, and whichever events arrive late.
func TestKillsAtAllPositions(t *testing.T) {
	t.Parallel()
	failures, completed := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		f := &simulatedEngines{choices: rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(rt, "choices")}
		var violation string
		synctest.Test(t, func(t *testing.T) { violation = f.run(t.Context()) })
		if violation != "" {
			rt.Fatal(violation)
		}
		failures += f.failures
		if len(f.delivered) == tokens {
			completed++
		}
	})
	t.Logf("%d failures, %d complete answers", failures, completed)
	if failures == 0 || completed == 0 {
		t.Fatalf("got %d failures and %d complete answers, want at least one of each", failures, completed)
	}
}
