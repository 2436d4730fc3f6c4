package delivery_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/claim"
	"bulrushshed/delivery"
	"bulrushshed/gossip"
	"bulrushshed/outcome"
	"bulrushshed/ratelimit"
	"bulrushshed/rule"
	"bulrushshed/service"
)

// newLimiter returns a limiter for replicas without limits.
func newLimiter() *ratelimit.Limiter { return limiterFor(newLimits()) }

func newLimits() *ratelimit.Limits {
	return ratelimit.NewLimits(func(gossip.Item) {}, slog.New(slog.DiscardHandler))
}

func limiterFor(limits *ratelimit.Limits) *ratelimit.Limiter {
	return ratelimit.NewLimiter(limits, ratelimit.SingleHost{}, slog.New(slog.DiscardHandler))
}

// limitedService is a service of two replicas of which the first or both name a limit.
type limitedService struct {
	scriptedService
	limits  *ratelimit.Limits
	limited map[string]float64
	calls   map[string]int
}

func (s *limitedService) Send(_ context.Context, address string, call service.Call) (outcome.Answer, error) {
	s.calls[address]++
	if rate, ok := s.limited[address]; ok {
		s.limits.Record(call.Replica, ratelimit.Naming{Named: true, Rate: rate}, time.Now(), time.Now())
	}
	return outcome.Answer{Status: 200}, nil
}

func TestCallsStayWithinTheLimitsOfReplicas(t *testing.T) {
	t.Parallel()
	const calls, lasts = 200, 10 * time.Second
	for _, c := range []struct {
		name       string
		limited    map[string]float64
		idempotent bool
		refused    bool
	}{
		{"one, idempotent", map[string]float64{"s1": 2}, true, false},
		{"one, non-idempotent", map[string]float64{"s1": 2}, false, false},
		{"both, idempotent", map[string]float64{"s1": 2, "s2": 1}, true, true},
		{"both, non-idempotent", map[string]float64{"s1": 2, "s2": 1}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &limitedService{limits: newLimits(), limited: c.limited, calls: map[string]int{}}
				home := claim.Home{Host: "entry-0", Incarnation: time.Now().UnixMicro()}
				d := delivery.New(delivery.Options{Self: home, MaxAttempts: 3, PickWait: 100 * time.Millisecond}, delivery.Dependencies{
					Services: s, Replicas: s, HomeClient: s, Journal: s, Outcomes: s, Gate: s, Counter: s, Limiter: limiterFor(s.limits), Quarantine: newQuarantine(),
					Table: claim.NewTable(claim.Options{KeyTTL: time.Minute, Capacity: calls, MaxAnswerBytes: 64}), Log: slog.New(slog.DiscardHandler),
				})
				refused := 0
				began := time.Now()
				for range calls {
					_, err := d.Deliver(t.Context(), delivery.Request{
						Class: rule.Class{Name: "c", Service: "dispatch", Idempotent: c.idempotent}, Key: claim.Issue(home, time.Now()).String(),
						Deadline: time.Now().Add(time.Second),
					})
					var o *outcome.Error
					if errors.As(err, &o) {
						is.Equal(o.Kind, outcome.NotRun)
						is.Equal(o.Cause, outcome.CauseEndpointLimit)
						is.True(o.RetryAfter > 0)
						refused++
					}
					time.Sleep(lasts / calls)
				}
				is.Equal(refused > 0, c.refused)
				is.Equal(s.calls["s1"]+s.calls["s2"]+refused, calls)
				for address, rate := range c.limited {
					is.True(float64(s.calls[address]) <= rate*time.Since(began).Seconds()+5)
					is.True(float64(s.calls[address]) >= 0.7*rate*time.Since(began).Seconds())
				}
			})
		})
	}
}
