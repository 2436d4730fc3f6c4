package completion

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"bulrushshed/engine"
	"bulrushshed/outcome"
	"bulrushshed/quarantine"
	"bulrushshed/ratelimit"
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

// Engines opens streams and probes engines.
type Engines interface {
	// Generate returns immediately; headerTimeout bounds the wait for the
	// response headers of the first hop's engine.
	Generate(ctx context.Context, g engine.Generate, headerTimeout time.Duration) engine.Stream
	Probe(ctx context.Context, address string) error
}

// Planner finds a route. It counts the request as load of the route's endpoints until
// release is called.
type Planner interface {
	Plan(m rule.Model, c route.Constraints) (r route.Route, release func(), err error)
	// Suspect reports that an endpoint failed a request, and SuspectLink that
	// the link between two endpoints did.
	Suspect(endpoint string, incarnation int64)
	SuspectLink(l route.Link)
}

// Quarantine decides which requests may be sent to engines.
type Quarantine interface {
	// Admit decides about a request before each attempt.
	Admit(requestID string, features []quarantine.Feature, now time.Time) quarantine.Decision
	// Observe returns what records the outcome of an attempt.
	Observe(features []quarantine.Feature) *quarantine.Attempt
}

// Limiter keeps the streams of all hosts that begin at an engine within the limit that it
// names.
type Limiter interface {
	// Acquire asks for a permit for one stream that begins at the given incarnation of an
	// engine.
	Acquire(ctx context.Context, engine string, need ratelimit.Need) ratelimit.Permit
	// ReturnAfter returns when a refused caller should return.
	ReturnAfter(service string, engines []string, soonest time.Duration, now time.Time) time.Duration
}

// Canceller tells engines asynchronously that an attempt has ended.
type Canceller interface {
	Cancel(hops []route.Hop, c engine.Cancel)
}

// Counter counts failures and dropped events.
type Counter interface {
	// Resumed counts a failed attempt by cause, also if no attempt follows.
	Resumed(cause string)
	// Dropped counts an event that was discarded.
	Dropped()
}

// Sink receives the tokens of an answer. An error means that the caller has
// disconnected.
type Sink interface {
	WriteToken(position int, token string) error
}

// Options configures a Runner.
type Options struct {
	// FirstTokenTimeout bounds the wait for the first token of an attempt, and
	// TokenTimeout that for each later one.
	FirstTokenTimeout time.Duration
	TokenTimeout      time.Duration
	// ProbeAfter is how long a stream may be silent before the engines of its
	// route are probed, and ProbeTimeout bounds a probe.
	ProbeAfter   time.Duration
	ProbeTimeout time.Duration
	// MaxAttempts is the maximum number of failed attempts for one request.
	// Reroutes of slow streams are not included.
	MaxAttempts int
	// RouteRetryInterval is the time between two searches for a route when there
	// is none, and RouteWait the time after which a request stops searching.
	RouteRetryInterval time.Duration
	RouteWait          time.Duration
}

// Runner answers requests. It is safe for concurrent use.
type Runner struct {
	opts Options
	Dependencies
}

// Dependencies are the components that a runner uses.
type Dependencies struct {
	Engines    Engines
	Planner    Planner
	Quarantine Quarantine
	Limiter    Limiter
	Canceller  Canceller
	Counter    Counter
	Log        *slog.Logger
}

// NewRunner returns a runner.
func NewRunner(o Options, deps Dependencies) *Runner {
	return &Runner{opts: o, Dependencies: deps}
}

// run is the state of one request while it is answered.
type run struct {
	*Runner
	req      Request
	progress *Progress
	sink     Sink
	// avoid and avoidLinks are the endpoints and links that failed. The next route
	// must not use them. cached maps each endpoint that still has the KV cache of
	// the request to the layers that the cache covers.
	avoid      map[string]bool
	avoidLinks map[route.Link]bool
	cached     map[string]route.Range
	// exhausted has the engines at which the last search for a route could not begin.
	exhausted ratelimit.Exhausted[route.Hop]
	// unresponsive are the endpoints that did not answer the last probe.
	unresponsive map[string]bool
	// reroutes is how often the request left a route for being slow.
	reroutes int
	// features has all by which the request may crash engines, and observed records
	// whether it crashes that of the current attempt.
	features []quarantine.Feature
	observed *quarantine.Attempt
	// version is the model version that generates all tokens of the answer.
	version string
	log     *slog.Logger
}

// Run answers a request into a sink. The error is an *outcome.Error; its kind is
// NotRun only if no engine can have received the request.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	x := &run{
		Runner: r, req: req, sink: sink,
		progress: NewProgress(req.ID, req.MaxTokens),
		avoid:    map[string]bool{}, avoidLinks: map[route.Link]bool{}, cached: map[string]route.Range{},
		features: features(req),
		log:      r.Log.With("request_id", req.ID, "customer", req.Customer),
	}
	err := x.runAttempts(ctx)
	var o *outcome.Error
	if errors.As(err, &o) {
		o.Attempt = x.progress.attempt
	}
	return err
}

func (x *run) runAttempts(ctx context.Context) error {
	var last error
	mayHaveRun := false
	for failures := 0; failures < x.opts.MaxAttempts; {
		if err := x.checkQuarantine(mayHaveRun); err != nil {
			return err
		}
		rt, release, err := x.plan(ctx)
		if ctx.Err() != nil {
			return x.contextError(ctx, mayHaveRun)
		}
		if err != nil {
			last = err
			break
		}
		x.version = rt.Version
		f := x.runAttempt(ctx, rt)
		release()
		if f == nil {
			return nil
		}
		mayHaveRun = mayHaveRun || f.mayHaveRun
		if f.terminal != nil {
			return f.terminal
		}
		last = f.cause
		if errors.Is(last, errSlow) {
			x.reroutes++
		} else {
			failures++
		}
		x.recordFailure(ctx, rt, f)
	}
	return x.attemptsExhaustedError(last, mayHaveRun)
}

// plan retries for up to RouteWait until there is a route.
func (x *run) plan(ctx context.Context) (route.Route, func(), error) {
	for waited := time.Duration(0); ; waited += x.opts.RouteRetryInterval {
		rt, release, err := x.planPermitted(ctx)
		if err == nil || waited+x.exhausted.Wait >= x.opts.RouteWait || ctx.Err() != nil {
			return rt, release, err
		}
		x.waitBeforeReplan(ctx)
	}
}

// planPermitted returns a route that begins at an engine that takes the stream now.
// x.exhausted has the engines that don't, if there is no such route.
func (x *run) planPermitted(ctx context.Context) (route.Route, func(), error) {
	x.exhausted = ratelimit.Exhausted[route.Hop]{}
	need := ratelimit.Need{Urgent: len(x.progress.Delivered()) > 0}
	for {
		rt, release, err := x.Planner.Plan(x.req.Model, x.constraints())
		if err != nil {
			return route.Route{}, nil, err
		}
		first := rt.Hops[0]
		permit := x.Limiter.Acquire(ctx, first.EngineIncarnation(), need)
		if permit.Granted {
			x.exhausted = ratelimit.Exhausted[route.Hop]{}
			return rt, release, nil
		}
		release()
		x.exhausted.Add(first, first.EngineIncarnation(), permit.Wait())
		if x.avoid[first.Endpoint] {
			return route.Route{}, nil, errNoPermit
		}
		x.avoid[first.Endpoint] = true
	}
}

var errNoPermit = errors.New("the engines take no more streams for a moment")

// promptTokenBytes is the mean length of a prompt token in bytes.
const promptTokenBytes = 4

// constraints returns the constraints on the next route.
func (x *run) constraints() route.Constraints {
	delivered := len(x.progress.Delivered())
	c := route.Constraints{
		Avoid: x.avoid, AvoidLinks: x.avoidLinks, Cached: x.cached,
		Context: len(x.req.Prompt)/promptTokenBytes + delivered, RemainingTokens: x.req.MaxTokens - delivered,
	}
	if delivered > 0 {
		c.Version = x.version
	}
	return c
}

// waitBeforeReplan waits for the retry interval. Endpoints and links that failed
// may be tried again after it.
func (x *run) waitBeforeReplan(ctx context.Context) {
	clear(x.avoid)
	clear(x.avoidLinks)
	t := time.NewTimer(x.opts.RouteRetryInterval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func callerLeftError(err error) error {
	return &outcome.Error{Op: "complete", Kind: outcome.Unknown, Cause: outcome.CauseCallerLeft, Message: err.Error()}
}

// contextError tells an expired deadline from a caller that disconnected.
func (x *run) contextError(ctx context.Context, mayHaveRun bool) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &outcome.Error{Op: "complete", Kind: outcomeKind(mayHaveRun), Cause: outcome.CauseDeadline, Message: "the deadline passed before the answer was complete"}
	}
	return callerLeftError(context.Cause(ctx))
}

func (x *run) attemptsExhaustedError(last error, mayHaveRun bool) error {
	o := &outcome.Error{
		Op: "complete", Kind: outcomeKind(mayHaveRun), Cause: outcome.CauseNoEndpoint, Message: last.Error(), RetryAfter: time.Second,
	}
	switch {
	case mayHaveRun:
		o.Cause = outcome.CauseInterrupted
	case len(x.exhausted.Replicas) > 0:
		o.Cause = outcome.CauseEndpointLimit
		o.RetryAfter = x.Limiter.ReturnAfter(x.req.Model.Name, x.exhausted.Replicas, x.exhausted.Wait, time.Now())
	}
	return o
}

func outcomeKind(mayHaveRun bool) outcome.Kind {
	if mayHaveRun {
		return outcome.Unknown
	}
	return outcome.NotRun
}
