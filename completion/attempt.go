package completion

import (
	"context"
	"errors"
	"maps"
	"time"

	"bulrushshed/engine"
	"bulrushshed/route"
	"bulrushshed/rule"
)

// failure says why an attempt did not complete the answer.
type failure struct {
	cause error
	// failedEndpoints are the endpoints that failed; nil if they are not known.
	failedEndpoints map[string]bool
	// failedLinks are the links that failed or are too slow.
	failedLinks []route.Link
	// mayHaveRun is set if an engine may have received the request.
	mayHaveRun bool
	// terminal, if not nil, is the result of the request: no further attempt is
	// made.
	terminal error
}

// runAttempt reads one stream to its end, and then cancels the attempt at the
// engines.
func (x *run) runAttempt(ctx context.Context, rt route.Route) *failure {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := x.progress.BeginAttempt()
	x.unresponsive = nil
	x.observed = x.Quarantine.Observe(x.features)
	s := x.Engines.Generate(ctx, engine.Generate{
		RequestID: x.req.ID, Attempt: n, Prompt: x.req.Prompt, Delivered: x.progress.Delivered(),
		MaxTokens: x.req.MaxTokens, Priority: int(rule.PriorityNormal), Route: rt,
	}, x.opts.FirstTokenTimeout)
	f := x.readStream(ctx, rt, s)
	x.observeCrash(ctx, rt, f)
	finished := f == nil || f.terminal != nil
	x.Canceller.Cancel(rt.Hops, engine.Cancel{RequestID: x.req.ID, Attempt: n, Free: finished})
	return f
}

// readStream passes tokens to the caller until the end event, a failure or a
// timeout. If no event arrives for a while, an engine of the route is slow or has
// failed. The engines are probed long before the token timeout to find out which.
func (x *run) readStream(ctx context.Context, rt route.Route, s engine.Stream) *failure {
	tokenTimer := time.NewTimer(x.opts.FirstTokenTimeout)
	defer tokenTimer.Stop()
	probeTimer := time.NewTimer(x.opts.ProbeAfter)
	defer probeTimer.Stop()
	var p tokenPace
	for {
		select {
		case e, ok := <-s.Events():
			if !ok {
				return x.streamFailure(rt, s.Err())
			}
			arrived := time.Now()
			received := len(x.progress.Delivered())
			finished, f := x.handleEvent(e)
			if finished {
				return f
			}
			if len(x.progress.Delivered()) == received {
				// A dropped event must not postpone the timeouts.
				continue
			}
			p.observe(arrived)
			p.exclude(time.Now())
			if f := x.checkPace(rt, &p); f != nil {
				return f
			}
			tokenTimer.Reset(x.opts.TokenTimeout)
			probeTimer.Reset(x.opts.ProbeAfter)
		case <-probeTimer.C:
			failed := x.probe(ctx, rt)
			if len(failed) > 0 && len(s.Events()) == 0 {
				return &failure{cause: errUnresponsive, failedEndpoints: failed, mayHaveRun: true}
			}
			// All engines answered, or an event arrived during the probe. If that
			// event is an error, handleEvent takes the failed endpoints from this
			// probe, since another one would tell nothing new.
			x.unresponsive = failed
			probeTimer.Reset(x.opts.ProbeAfter)
		case <-tokenTimer.C:
			return &failure{cause: errTokenTimeout, mayHaveRun: true}
		case <-ctx.Done():
			return &failure{cause: ctx.Err(), mayHaveRun: true, terminal: x.contextError(ctx, true)}
		}
	}
}

var (
	errTokenTimeout = errors.New("no token arrived within the token timeout")
	errUnresponsive = errors.New("an engine of the route did not answer a probe")
	errSlow         = errors.New("tokens arrive far slower than planned")
)

// checkPace returns a failure, which makes the request leave its route, if tokens
// arrive far slower than planned and a route over other links is expected to be
// much faster.
func (x *run) checkPace(rt route.Route, p *tokenPace) *failure {
	links := rt.Links()
	if len(links) == 0 || x.reroutes >= maxReroutes || !p.isSlow(rt.TokenTime) {
		return nil
	}
	constraints := x.constraints()
	constraints.AvoidLinks = maps.Clone(constraints.AvoidLinks)
	for _, l := range links {
		constraints.AvoidLinks[l] = true
	}
	other, release, err := x.Planner.Plan(x.req.Model, constraints)
	if err != nil {
		return nil
	}
	release()
	if other.TokenTime*minSpeedup > p.mean {
		return nil
	}
	return &failure{cause: errSlow, failedEndpoints: map[string]bool{}, failedLinks: links, mayHaveRun: true}
}

// streamFailure describes a stream that ended without an end event. The failure is
// attributed to the first hop's engine, as no error event named another endpoint.
func (x *run) streamFailure(rt route.Route, cause error) *failure {
	return &failure{
		cause: cause, failedEndpoints: map[string]bool{rt.Hops[0].Endpoint: true}, mayHaveRun: !errors.Is(cause, engine.ErrNotRun),
	}
}

// handleEvent handles one event; finished is set if the attempt ends with it.
func (x *run) handleEvent(e engine.Event) (finished bool, f *failure) {
	switch x.progress.Accept(e) {
	case VerdictDrop:
		x.Counter.Dropped()
	case VerdictDeliver:
		x.unresponsive = nil
		x.observed.RecordEvent(time.Now())
		if err := x.sink.WriteToken(e.Position, e.Token); err != nil {
			return true, &failure{cause: err, mayHaveRun: true, terminal: callerLeftError(err)}
		}
	case VerdictFail:
		f := &failure{cause: errors.New(e.Reason), mayHaveRun: true}
		switch {
		case e.From != "":
			// The endpoint or the link to it failed; a probe tells which.
			f.failedLinks = []route.Link{{From: e.From, To: e.Endpoint}}
			if len(x.unresponsive) > 0 {
				f.failedEndpoints = x.unresponsive
			}
		case e.Endpoint != "":
			f.failedEndpoints = map[string]bool{e.Endpoint: true}
		}
		return true, f
	case VerdictEnd:
		x.observed.RecordEnd(time.Now())
		return true, nil
	}
	return false, nil
}
