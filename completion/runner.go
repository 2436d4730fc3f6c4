package completion

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"bulrushshed/engine"
	"bulrushshed/outcome"
	"bulrushshed/route"
	"bulrushshed/rule"
)

// Request is one prompt to answer.
type Request struct {
	ID        string
	Customer  string
	Model     rule.Model
	Prompt    string
	MaxTokens int
	Deadline  time.Time
}

// Engines opens streams and asks engines whether they are there.
type Engines interface {
	// Generate returns at once; headTimeout bounds the wait for the first
	// byte of the answer.
	Generate(ctx context.Context, g engine.Generate, headTimeout time.Duration) engine.Stream
	Probe(ctx context.Context, address string) error
}

// Planner finds a route and counts what runs on it until release is called.
type Planner interface {
	Plan(m rule.Model, p route.Constraints) (r route.Route, release func(), err error)
	// Suspect tells that an endpoint failed a request, and SuspectLink that
	// the way between two did.
	Suspect(endpoint string, incarnation int64)
	SuspectLink(l route.Link)
}

// Canceller tells engines, some time soon, that an attempt has ended.
type Canceller interface {
	Cancel(hops []route.Hop, c engine.Cancel)
}

// Counter counts what went other than planned.
type Counter interface {
	Resumed(cause string)
	Dropped()
}

// Sink takes the tokens of an answer; an error means that the caller left.
type Sink interface {
	Token(position int, token string) error
}

// Options bound a runner.
type Options struct {
	// FirstGap and TokenGap bound the wait for the first token of an
	// attempt and for each one behind it.
	FirstGap time.Duration
	TokenGap time.Duration
	// ProbeAfter is the silence after which the engines of a route are
	// asked whether they are there, and ProbeTimeout how long they may take
	// to say so.
	ProbeAfter   time.Duration
	ProbeTimeout time.Duration
	// Attempts is the number of attempts for one request.
	Attempts int
	// Pause is the time between two looks for a route when none is at hand,
	// and RouteWait the time after which a request gives up looking.
	Pause     time.Duration
	RouteWait time.Duration
}

// Runner answers requests; it is safe for concurrent use.
type Runner struct {
	opts      Options
	engines   Engines
	planner   Planner
	canceller Canceller
	counter   Counter
	log       *slog.Logger
}

// NewRunner returns a runner.
func NewRunner(o Options, e Engines, p Planner, c Canceller, n Counter, log *slog.Logger) *Runner {
	return &Runner{opts: o, engines: e, planner: p, canceller: c, counter: n, log: log}
}

// run is the state of one request while it is answered.
type run struct {
	*Runner
	req      Request
	progress *Progress
	sink     Sink
	// avoid, avoidLinks and cached steer the next plan.
	avoid      map[string]bool
	avoidLinks map[route.Link]bool
	cached     map[string]route.Range
	// silent are the endpoints that did not answer when last asked.
	silent map[string]bool
	// moves is how often the request left a route for being slow.
	moves int
	// version is the one that all tokens of the answer come from.
	version string
	log     *slog.Logger
}

// Run answers a request into a sink. The error is an *outcome.Error; it is of
// kind NotRun only while no engine can have seen the request.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	x := &run{
		Runner: r, req: req, sink: sink,
		progress: NewProgress(req.ID, req.MaxTokens),
		avoid:    map[string]bool{}, avoidLinks: map[route.Link]bool{}, cached: map[string]route.Range{},
		log: r.log.With("request_id", req.ID, "customer", req.Customer),
	}
	err := x.attempts(ctx)
	var o *outcome.Error
	if errors.As(err, &o) {
		o.Attempt = x.progress.attempt
	}
	return err
}

func (x *run) attempts(ctx context.Context) error {
	var last error
	started := false
	for failures := 0; failures < x.opts.Attempts; {
		rt, release, err := x.plan(ctx)
		if ctx.Err() != nil {
			return x.ended(ctx, started)
		}
		if err != nil {
			last = err
			break
		}
		x.version = rt.Version
		f := x.attempt(ctx, rt)
		release()
		if f == nil {
			return nil
		}
		started = started || f.started
		if f.final != nil {
			return f.final
		}
		last = f.cause
		if errors.Is(last, errSlow) {
			x.moves++
		} else {
			failures++
		}
		x.learn(ctx, rt, f)
	}
	return x.exhausted(last, started)
}

// plan waits up to RouteWait for a route to come up.
func (x *run) plan(ctx context.Context) (route.Route, func(), error) {
	for waited := time.Duration(0); ; waited += x.opts.Pause {
		rt, release, err := x.planner.Plan(x.req.Model, x.pick())
		if err == nil || waited >= x.opts.RouteWait || ctx.Err() != nil {
			return rt, release, err
		}
		x.pause(ctx)
	}
}

// promptTokenBytes is the mean length of a token of a prompt.
const promptTokenBytes = 4

// pick is what the next plan must heed.
func (x *run) pick() route.Constraints {
	done := len(x.progress.Delivered())
	p := route.Constraints{
		Avoid: x.avoid, AvoidLinks: x.avoidLinks, Cached: x.cached,
		Context: len(x.req.Prompt)/promptTokenBytes + done, RemainingTokens: x.req.MaxTokens - done,
	}
	if done > 0 {
		p.Version = x.version
	}
	return p
}

// pause waits for a route to come up; endpoints that failed may be tried
// again then.
func (x *run) pause(ctx context.Context) {
	clear(x.avoid)
	clear(x.avoidLinks)
	t := time.NewTimer(x.opts.Pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func callerLeft(err error) error {
	return &outcome.Error{Op: "complete", Kind: outcome.Unknown, Cause: outcome.CauseCallerLeft, Message: err.Error()}
}

// ended tells a deadline from a caller that left.
func (x *run) ended(ctx context.Context, started bool) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &outcome.Error{Op: "complete", Kind: kind(started), Cause: outcome.CauseDeadline, Message: "the deadline passed"}
	}
	return callerLeft(context.Cause(ctx))
}

func (x *run) exhausted(last error, started bool) error {
	cause := outcome.CauseNoEndpoint
	if started {
		cause = outcome.CauseInterrupted
	}
	return &outcome.Error{Op: "complete", Kind: kind(started), Cause: cause, Message: last.Error(), RetryAfter: time.Second}
}

func kind(started bool) outcome.Kind {
	if started {
		return outcome.Unknown
	}
	return outcome.NotRun
}
