package completion

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"time"

	"github.com/samber/lo"

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
	Plan(m rule.Model, p route.Pick) (r route.Route, release func(), err error)
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
	for range x.opts.Attempts {
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
func (x *run) pick() route.Pick {
	done := len(x.progress.Delivered())
	p := route.Pick{
		Avoid: x.avoid, AvoidLinks: x.avoidLinks, Cached: x.cached,
		Context: len(x.req.Prompt)/promptTokenBytes + done, Tokens: x.req.MaxTokens - done,
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

// failure is why an attempt did not complete the answer.
type failure struct {
	cause error
	// failed are the endpoints that failed; nil if that is not known.
	failed map[string]bool
	// links are the ways that failed or are too slow.
	links []route.Link
	// started is whether an engine can have seen the request.
	started bool
	// final is set if no other attempt may follow.
	final error
}

// attempt runs one stream to its end, and tells the engines that it is over.
func (x *run) attempt(ctx context.Context, rt route.Route) *failure {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := x.progress.Begin()
	x.silent = nil
	s := x.engines.Generate(ctx, engine.Generate{
		RequestID: x.req.ID, Attempt: n, Prompt: x.req.Prompt, Delivered: x.progress.Delivered(),
		MaxTokens: x.req.MaxTokens, Priority: int(rule.PriorityNormal), Route: rt,
	}, x.opts.FirstGap)
	f := x.follow(ctx, rt, s)
	over := f == nil || f.final != nil
	x.canceller.Cancel(rt.Hops, engine.Cancel{RequestID: x.req.ID, Attempt: n, Free: over})
	return f
}

// follow passes tokens on until the end, a failure, or a gap that is too long.
// A silence that may be a slow engine's or a dead one's is told apart by
// asking, long before the gap is over.
func (x *run) follow(ctx context.Context, rt route.Route, s engine.Stream) *failure {
	gap := time.NewTimer(x.opts.FirstGap)
	defer gap.Stop()
	silence := time.NewTimer(x.opts.ProbeAfter)
	defer silence.Stop()
	var p pace
	for {
		select {
		case e, ok := <-s.Events():
			if !ok {
				return x.broken(rt, s.Err())
			}
			p.note(time.Now())
			over, f := x.event(e)
			if over {
				return f
			}
			p.skip(time.Now())
			if f := x.tooSlow(rt, &p); f != nil {
				return f
			}
			gap.Reset(x.opts.TokenGap)
			silence.Reset(x.opts.ProbeAfter)
		case <-silence.C:
			failed := x.probe(ctx, rt)
			if len(failed) > 0 && len(s.Events()) == 0 {
				return &failure{cause: errSilent, failed: failed, started: true}
			}
			// An event came meanwhile; if it is an error, asking again would
			// tell nothing new.
			x.silent = failed
			silence.Reset(x.opts.ProbeAfter)
		case <-gap.C:
			return &failure{cause: errGap, started: true}
		case <-ctx.Done():
			return &failure{cause: ctx.Err(), started: true, final: x.ended(ctx, true)}
		}
	}
}

var (
	errGap    = errors.New("no token within the gap")
	errSilent = errors.New("an engine of the route does not answer")
	errSlow   = errors.New("far slower than planned")
)

// tooSlow gives a route up whose tokens come far later than planned, if one
// over other links is expected to be much faster than this one is.
func (x *run) tooSlow(rt route.Route, p *pace) *failure {
	links := rt.Links()
	if len(links) == 0 || !p.behind(rt.TokenTime) {
		return nil
	}
	pick := x.pick()
	pick.AvoidLinks = maps.Clone(pick.AvoidLinks)
	for _, l := range links {
		pick.AvoidLinks[l] = true
	}
	other, release, err := x.planner.Plan(x.req.Model, pick)
	if err != nil {
		return nil
	}
	release()
	if other.TokenTime*worthwhile > p.mean {
		return nil
	}
	return &failure{cause: errSlow, failed: map[string]bool{}, links: links, started: true}
}

// broken is a stream that ended without its end event. The first hop's engine
// failed it, if that did not name another.
func (x *run) broken(rt route.Route, cause error) *failure {
	return &failure{
		cause: cause, failed: map[string]bool{rt.Hops[0].Endpoint: true}, started: !errors.Is(cause, engine.ErrNotRun),
	}
}

// event handles one event; over is whether the attempt ends with it.
func (x *run) event(e engine.Event) (over bool, f *failure) {
	switch x.progress.Accept(e) {
	case VerdictDrop:
		x.counter.Dropped()
	case VerdictDeliver:
		x.silent = nil
		if err := x.sink.Token(e.Position, e.Token); err != nil {
			return true, &failure{cause: err, started: true, final: callerLeft(err)}
		}
	case VerdictFail:
		f := &failure{cause: errors.New(e.Reason), started: true}
		switch {
		case e.From != "":
			// Whether the endpoint or the way to it failed, asking tells.
			f.links = []route.Link{{From: e.From, To: e.Endpoint}}
			if len(x.silent) > 0 {
				f.failed = x.silent
			}
		case e.Endpoint != "":
			f.failed = map[string]bool{e.Endpoint: true}
		}
		return true, f
	case VerdictEnd:
		return true, nil
	}
	return false, nil
}

// learn notes which endpoints failed and which still hold the KV cache.
func (x *run) learn(ctx context.Context, rt route.Route, f *failure) {
	if f.failed == nil {
		f.failed = x.probe(ctx, rt)
	}
	x.log.Warn("completion: attempt failed", "attempt", x.progress.attempt, "endpoints", lo.Keys(f.failed),
		"position", len(x.progress.Delivered()), "cause", f.cause.Error())
	x.counter.Resumed(causeOf(f))
	if len(f.failed) == 0 {
		// With a dead engine on the route, each one before it blames its own
		// link.
		for _, l := range f.links {
			x.avoidLinks[l] = true
			x.planner.SuspectLink(l)
		}
	}
	clear(x.cached)
	for _, h := range rt.Hops {
		if !f.failed[h.Endpoint] {
			x.cached[h.Endpoint] = h.Layers
			continue
		}
		x.avoid[h.Endpoint] = true
		x.planner.Suspect(h.Endpoint, h.Incarnation)
	}
}

func causeOf(f *failure) string {
	switch {
	case errors.Is(f.cause, errGap):
		return "gap"
	case errors.Is(f.cause, errSilent):
		return "silence"
	case errors.Is(f.cause, errSlow):
		return "slow"
	case len(f.links) > 0:
		return "link"
	case !f.started:
		return "refused"
	}
	return "stage"
}

// probe asks all hops at once whether they are there, and returns those that
// did not answer in time.
func (x *run) probe(ctx context.Context, rt route.Route) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, x.opts.ProbeTimeout)
	defer cancel()
	type reply struct {
		endpoint string
		err      error
	}
	replies := make(chan reply, len(rt.Hops))
	for _, h := range rt.Hops {
		go func() { replies <- reply{endpoint: h.Endpoint, err: x.engines.Probe(ctx, h.Address)} }()
	}
	failed := map[string]bool{}
	for range rt.Hops {
		if r := <-replies; r.err != nil {
			failed[r.endpoint] = true
		}
	}
	return failed
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
