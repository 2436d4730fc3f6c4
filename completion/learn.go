package completion

import (
	"context"
	"errors"

	"github.com/samber/lo"

	"bulrushshed/route"
)

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
