package completion_test

import (
	"log/slog"
	"time"

	"bulrushshed/completion"
	"bulrushshed/gossip"
	"bulrushshed/quarantine"
	"bulrushshed/ratelimit"
)

// fakes implements all that a runner uses, apart from the quarantine.
type fakes interface {
	completion.Engines
	completion.Planner
	completion.Canceller
	completion.Counter
}

func newRunner(f fakes, attempts int, routeWait time.Duration) *completion.Runner {
	limits := ratelimit.NewLimits(func(gossip.Item) {}, slog.New(slog.DiscardHandler))
	return newRunnerWithLimits(f, attempts, routeWait, limits)
}

func newRunnerWithLimits(f fakes, attempts int, routeWait time.Duration, limits *ratelimit.Limits) *completion.Runner {
	limiter := ratelimit.NewLimiter(limits, ratelimit.SingleHost{}, slog.New(slog.DiscardHandler))
	return completion.NewRunner(completion.Options{
		FirstTokenTimeout: 10 * time.Second, TokenTimeout: 5 * time.Second, ProbeAfter: 250 * time.Millisecond,
		ProbeTimeout: 250 * time.Millisecond, MaxAttempts: attempts, RouteRetryInterval: 50 * time.Millisecond, RouteWait: routeWait,
	}, completion.Dependencies{
		Limiter: limiter,
		Engines: f, Planner: f, Canceller: f, Counter: f, Log: slog.New(slog.DiscardHandler),
		Quarantine: quarantine.New(quarantine.Options{
			UnprovenCrashLimit: 2, Publish: func(quarantine.Finding) {}, Log: slog.New(slog.DiscardHandler),
		}),
	})
}
