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
	"bulrushshed/quarantine"
	"bulrushshed/rule"
	"bulrushshed/service"
)

func newQuarantine() *quarantine.Tracker {
	return quarantine.New(quarantine.Options{
		UnprovenCrashLimit: 2, Publish: func(quarantine.Finding) {}, Log: slog.New(slog.DiscardHandler),
	})
}

// crashingService is a service whose replicas crash when they run a deadly call. They are
// back at once, as another incarnation.
type crashingService struct {
	scriptedService
	crashes int64
	down    map[string]bool
}

const deadlyBody = "deadly"

func (s *crashingService) Pick(_ string, tried map[string]bool) (delivery.Replica, func(), bool) {
	for _, name := range []string{"s1", "s2"} {
		if !tried[name] {
			return delivery.Replica{Endpoint: name, Address: name, Incarnation: s.crashes}, func() {}, true
		}
	}
	return delivery.Replica{}, nil, false
}

func (s *crashingService) Send(_ context.Context, address string, c service.Call) (outcome.Answer, error) {
	s.down[address] = string(c.Body) == deadlyBody
	if !s.down[address] {
		return outcome.Answer{Status: 200}, nil
	}
	s.crashes++
	return outcome.Answer{}, &outcome.Error{Kind: outcome.Unknown, Cause: outcome.CauseNoAnswer}
}

func (s *crashingService) IsDown(_ context.Context, address string) bool { return s.down[address] }

// A call that crashes each replica that runs it comes again beside sound ones of the same
// caller to the same path.
func TestCallsThatCrashReplicasAreContained(t *testing.T) {
	t.Parallel()
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprint(idempotent), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const rounds, maxCrashes = 100, 4
				s := &crashingService{down: map[string]bool{}}
				home := claim.Home{Host: "entry-0", Incarnation: time.Now().UnixMicro()}
				d := delivery.New(delivery.Options{Self: home, MaxAttempts: 3, PickWait: 100 * time.Millisecond}, delivery.Dependencies{
					Services: s, Replicas: s, HomeClient: s, Journal: s, Outcomes: s, Gate: s, Counter: s, Limiter: newLimiter(), Quarantine: newQuarantine(),
					Table: claim.NewTable(claim.Options{KeyTTL: time.Minute, Capacity: 4 * rounds, MaxAnswerBytes: 64}), Log: slog.New(slog.DiscardHandler),
				})
				deliver := func(id, body string) error {
					_, err := d.Deliver(t.Context(), delivery.Request{
						ID: id, Customer: "ana", Class: rule.Class{Name: "c", Service: "dispatch", Idempotent: idempotent}, Path: "/orders",
						Key: claim.Issue(home, time.Now()).String(), Body: []byte(body), Deadline: time.Now().Add(time.Second),
					})
					return err
				}
				refused := 0
				for i := range rounds {
					is.NoErr(deliver(fmt.Sprint("sound-", i), fmt.Sprint("body ", i)))
					var o *outcome.Error
					is.True(errors.As(deliver(fmt.Sprint("deadly-", i), deadlyBody), &o))
					if o.Cause == outcome.CauseQuarantined {
						is.Equal(o.Kind, outcome.NotRun)
						is.True(o.RetryAfter > 0)
						refused++
					}
					time.Sleep(500 * time.Millisecond)
				}
				is.True(s.crashes <= maxCrashes)
				is.True(refused >= rounds-maxCrashes)
			})
		})
	}
}
