package completion

import (
	"context"
	"errors"

	"github.com/samber/lo"

	"bulrushshed/route"
)

// recordFailure records which endpoints and links failed, and which endpoints
// still hold the KV cache.
func (x *run) recordFailure(ctx context.Context, rt route.Route, f *failure) {
	if f.failedEndpoints == nil {
		f.failedEndpoints = x.probe(ctx, rt)
	}
	x.log.Warn("completion: attempt failed", "attempt", x.progress.attempt, "endpoints", lo.Keys(f.failedEndpoints),
		"position", len(x.progress.Delivered()), "cause", f.cause.Error())
	x.Counter.Resumed(resumeCause(f))
	if len(f.failedEndpoints) == 0 {
		// Suspect a link only if all engines answer: if an engine has died, each
		// hop before it reports its own link as failed.
		for _, l := range f.failedLinks {
			x.avoidLinks[l] = true
			x.Planner.SuspectLink(l)
		}
	}
	clear(x.cached)
	for _, h := range rt.Hops {
		if !f.failedEndpoints[h.Endpoint] {
			x.cached[h.Endpoint] = h.Layers
			continue
		}
		x.avoid[h.Endpoint] = true
		x.Planner.Suspect(h.Endpoint, h.Incarnation)
	}
}

// resumeCause returns the metric label for a failure: "gap" for a token timeout,
// "silence" if an engine did not answer a probe, "slow" for a slow route, "link" if an
// engine could not reach the next one, "refused" if the engine certainly did not run
// the request, and "stage" for any other failure.
func resumeCause(f *failure) string {
	switch {
	case errors.Is(f.cause, errTokenTimeout):
		return "gap"
	case errors.Is(f.cause, errUnresponsive):
		return "silence"
	case errors.Is(f.cause, errSlow):
		return "slow"
	case len(f.failedLinks) > 0:
		return "link"
	case !f.mayHaveRun:
		return "refused"
	}
	return "stage"
}

// probe probes all hops in parallel, and returns the endpoints that did not
// answer in time.
func (x *run) probe(ctx context.Context, rt route.Route) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, x.opts.ProbeTimeout)
	defer cancel()
	type reply struct {
		endpoint string
		err      error
	}
	replies := make(chan reply, len(rt.Hops))
	for _, h := range rt.Hops {
		go func() { replies <- reply{endpoint: h.Endpoint, err: x.Engines.Probe(ctx, h.Address)} }()
	}
	failed := map[string]bool{}
	for range rt.Hops {
		if r := <-replies; r.err != nil {
			failed[r.endpoint] = true
		}
	}
	return failed
}
