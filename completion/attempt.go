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
	if len(links) == 0 || x.moves >= maxMoves || !p.behind(rt.TokenTime) {
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
