package delivery_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/claim"
	"bulrushshed/delivery"
	"bulrushshed/outcome"
	"bulrushshed/rule"
	"bulrushshed/service"
)

// scriptedService is a service of two replicas with scripted answers. It also
// implements all other dependencies of a deliverer.
type scriptedService struct {
	answers    []string
	sent       []string
	honorsKeys bool
}

func (s *scriptedService) Pick(_ string, tried map[string]bool) (delivery.Replica, func(), bool) {
	for _, name := range []string{"s1", "s2"} {
		if !tried[name] {
			return delivery.Replica{Endpoint: name, Address: name, HonorsKeys: s.honorsKeys}, func() {}, true
		}
	}
	return delivery.Replica{}, nil, false
}

func (s *scriptedService) IsDown(context.Context, string) bool { return false }
func (s *scriptedService) Suspect(string, int64)               {}
func (s *scriptedService) MarkLeaving(string, int64)           {}
func (s *scriptedService) Retried(string)                      {}
func (s *scriptedService) Hedged(string)                       {}
func (s *scriptedService) Add(string, claim.Result) {
}

func (s *scriptedService) Acquire(context.Context, delivery.Request) (func(bool), error) {
	return func(bool) {}, nil
}

func (s *scriptedService) Lookup(claim.Key) (claim.Result, bool) { return claim.Result{}, false }

func (s *scriptedService) Forward(context.Context, claim.Home, delivery.Request) (outcome.Answer, error) {
	return outcome.Answer{}, &outcome.Error{Kind: outcome.Unknown, Cause: outcome.CauseHomeGone}
}

func (s *scriptedService) Send(_ context.Context, address string, _ service.Call) (outcome.Answer, error) {
	next := s.answers[0]
	s.answers = s.answers[1:]
	s.sent = append(s.sent, address)
	switch next {
	case "not run":
		return outcome.Answer{}, &outcome.Error{Kind: outcome.NotRun, Cause: outcome.CauseNotSent}
	case "unknown":
		return outcome.Answer{}, &outcome.Error{Kind: outcome.Unknown, Cause: outcome.CauseNoAnswer}
	case "500":
		return outcome.Answer{Status: 500}, nil
	}
	return outcome.Answer{Status: 200}, nil
}

// Each case lists the service's answers in order, the replicas to which the call
// must be sent, and the outcome that its caller must get.
func TestRetryTargets(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name       string
		idempotent bool
		honorsKeys bool
		answers    []string
		wantSent   string
		want       string
	}{
		{"answered", false, false, []string{"ok"}, "[s1]", "200"},
		{"certainly not run", false, false, []string{"not run", "ok"}, "[s1 s2]", "200"},
		{"never run", false, false, []string{"not run", "not run"}, "[s1 s2]", "not_run"},
		{"unknown", false, false, []string{"unknown"}, "[s1]", "outcome_unknown"},
		{"not run, then unknown", false, false, []string{"not run", "unknown"}, "[s1 s2]", "outcome_unknown"},
		{"server error", false, false, []string{"500"}, "[s1]", "500"},
		{"unknown, key honored", false, true, []string{"unknown", "ok"}, "[s1 s1]", "200"},
		{"unknown, then not run, key honored", false, true, []string{"unknown", "not run", "unknown"}, "[s1 s1 s1]", "outcome_unknown"},
		{"not run, key honored", false, true, []string{"not run", "ok"}, "[s1 s2]", "200"},
		{"idempotent, unknown", true, false, []string{"unknown", "ok"}, "[s1 s2]", "200"},
		{"idempotent, server error", true, false, []string{"500", "ok"}, "[s1 s2]", "200"},
		{"idempotent, server error twice", true, false, []string{"500", "500"}, "[s1 s2]", "500"},
		{"idempotent, unknown, then not run", true, false, []string{"unknown", "not run"}, "[s1 s2]", "outcome_unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &scriptedService{answers: c.answers, honorsKeys: c.honorsKeys}
				home := claim.Home{Host: "entry-1", Incarnation: 1}
				d := delivery.New(delivery.Options{Self: home, MaxAttempts: 3}, delivery.Dependencies{
					Services: s, Replicas: s, HomeClient: s, Journal: s, Outcomes: s, Gate: s, Counter: s, Limiter: newLimiter(), Quarantine: newQuarantine(),
					Table: claim.NewTable(claim.Options{KeyTTL: keyTTL, Capacity: 10, MaxAnswerBytes: 64}),
					Log:   slog.New(slog.DiscardHandler),
				})
				answer, err := d.Deliver(t.Context(), delivery.Request{
					Class: rule.Class{Service: "dispatch", Idempotent: c.idempotent},
					Key:   claim.Issue(home, time.Now()).String(), Deadline: time.Now().Add(time.Second),
				})
				is.Equal(fmt.Sprint(s.sent), c.wantSent)
				is.Equal(reported(answer, err), c.want)
			})
		})
	}
}

func reported(answer outcome.Answer, err error) string {
	var o *outcome.Error
	if errors.As(err, &o) {
		return string(o.Kind)
	}
	return fmt.Sprint(answer.Status)
}

func TestUnusableKeys(t *testing.T) {
	t.Parallel()
	home := claim.Home{Host: "entry-1", Incarnation: 2}
	now := time.Now()
	old := claim.Issue(home, now.Add(-keyTTL)).String()
	before := claim.Issue(claim.Home{Host: "entry-1", Incarnation: 1}, now).String()
	other := claim.Issue(claim.Home{Host: "entry-2", Incarnation: 1}, now).String()
	for _, c := range []struct {
		name, key, want string
	}{
		{"none", "", "deliver: invalid (key_missing): a non-idempotent call needs a key; GET /v1/entries issues them"},
		{"made up", "my-key-1", "deliver: invalid (key_missing): got a key that no host issued, want one from GET /v1/entries"},
		{"too old", old, "deliver: outcome_unknown (key_expired): the key is too old to tell whether its call ran"},
		{"of an earlier run", before, "deliver: outcome_unknown (home_gone): the key's home has restarted since it issued the key"},
		{"of a host that has stopped", other, ": outcome_unknown (home_gone): "},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := &scriptedService{}
			d := delivery.New(delivery.Options{Self: home, MaxAttempts: 3}, delivery.Dependencies{
				Services: s, Replicas: s, HomeClient: s, Journal: s, Outcomes: s, Gate: s, Counter: s, Limiter: newLimiter(), Quarantine: newQuarantine(),
				Table: claim.NewTable(claim.Options{KeyTTL: keyTTL, Capacity: 10, MaxAnswerBytes: 64}),
				Log:   slog.New(slog.DiscardHandler),
			})
			_, err := d.Deliver(t.Context(), delivery.Request{Key: c.key, Deadline: now.Add(time.Minute)})
			is.True(err != nil)
			is.Equal(err.Error(), c.want)
			is.Equal(len(s.sent), 0)
		})
	}
}

// slowService is a service whose first replica answers with a delay.
type slowService struct {
	scriptedService
	firstLatency time.Duration
	cancelled    bool
}

func (s *slowService) Send(ctx context.Context, address string, _ service.Call) (outcome.Answer, error) {
	wait := time.Millisecond
	if address == "s1" {
		wait = s.firstLatency
	}
	select {
	case <-time.After(wait):
		return outcome.Answer{Status: 200, Body: []byte(address)}, nil
	case <-ctx.Done():
		s.cancelled = true
		return outcome.Answer{}, &outcome.Error{Kind: outcome.Unknown, Cause: outcome.CauseNoAnswer}
	}
}

// A slow idempotent call is hedged, and the slower send is cancelled. A slow
// non-idempotent call is not hedged.
func TestHedging(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name       string
		idempotent bool
		first      time.Duration
		answer     string
		cancelled  bool
	}{
		{"fast check", true, time.Millisecond, "s1", false},
		{"slow check", true, time.Second, "s2", true},
		{"slow dispatch", false, time.Second, "s1", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &slowService{firstLatency: c.first}
				home := claim.Home{Host: "entry-1", Incarnation: 1}
				d := delivery.New(delivery.Options{Self: home, MaxAttempts: 3}, delivery.Dependencies{
					Services: s, Replicas: s, HomeClient: s, Journal: s, Outcomes: s, Gate: s, Counter: s, Limiter: newLimiter(), Quarantine: newQuarantine(),
					Table: claim.NewTable(claim.Options{KeyTTL: keyTTL, Capacity: 10, MaxAnswerBytes: 64}),
					Log:   slog.New(slog.DiscardHandler),
				})
				answer, err := d.Deliver(t.Context(), delivery.Request{
					Class: rule.Class{Service: "dispatch", Idempotent: c.idempotent},
					Key:   claim.Issue(home, time.Now()).String(), Deadline: time.Now().Add(5 * time.Second),
				})
				is.NoErr(err)
				is.Equal(string(answer.Body), c.answer)
				synctest.Wait()
				is.Equal(s.cancelled, c.cancelled)
			})
		})
	}
}
