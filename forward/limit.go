package forward

import (
	"context"
	"maps"
	"time"

	"bulrushshed/pipeline"
	"bulrushshed/ratelimit"
	"bulrushshed/replica"
	"bulrushshed/route"
)

const (
	// limitWaitFraction is the fraction of a rule's target latency for which a request may
	// wait for its turn at a replica that names a limit.
	limitWaitFraction = 0.4
	// maxLimited is the number of replicas that may turn out to have reached their limits
	// before a request stops to look for another one.
	maxLimited = 8
)

// Limiter keeps the requests of all hosts to a replica within the limit that it names.
type Limiter interface {
	// Acquire asks for a permit for one request to the given incarnation of a replica, and
	// waits until the request may be sent.
	Acquire(ctx context.Context, replica string, need ratelimit.Need) ratelimit.Permit
	// Blocked returns the replicas that take no more requests for a moment, and how long
	// that lasts.
	Blocked(now time.Time) map[string]time.Duration
	// ReturnAfter returns when a refused caller should return.
	ReturnAfter(service string, replicas []string, soonest time.Duration, now time.Time) time.Duration
}

// exhausted has the replicas that take no more requests for a moment.
type exhausted = ratelimit.Exhausted[replica.Replica]

// newExhausted returns those of the given replicas that are known to take no more.
func (c *call) newExhausted(all []replica.Replica) (e exhausted, blocked []replica.Replica) {
	waits := c.f.Limiter.Blocked(time.Now())
	if len(waits) == 0 {
		return exhausted{}, nil
	}
	for _, r := range all {
		if wait, ok := waits[r.Incarnation()]; ok {
			e.Add(r, r.Incarnation(), wait)
			blocked = append(blocked, r)
		}
	}
	return e, blocked
}

// returnAfterLimit returns when the caller of a request should return that no replica
// takes because of its limit.
func (c *call) returnAfterLimit() time.Duration {
	return c.f.Limiter.ReturnAfter(c.service.Name, c.exhausted.Replicas, c.exhausted.Wait, time.Now())
}

// limitWait returns how long the request may wait for its turn.
func (c *call) limitWait() time.Duration {
	return min(time.Duration(limitWaitFraction*float64(c.rule.Objective)), time.Until(c.deadline)-minRemaining)
}

// pick selects a replica that takes the request now. If all have reached their limits, it
// waits for the next turn if that is soon and no other send is running.
func (p *plainCall) pick() (r replica.Replica, pending *replica.Pending, cause string) {
	all := p.f.Replicas.View().ByService(p.service.Name)
	e, blocked := p.newExhausted(all)
	skip := maps.Clone(p.tried)
	for _, r := range blocked {
		skip[r.ID] = true
	}
	for range maxLimited {
		r, pending, ok := p.f.Picker.Pick(all, skip, time.Now())
		if !ok {
			break
		}
		permit := p.f.Limiter.Acquire(p.ctx, r.Incarnation(), ratelimit.Need{})
		if permit.Granted {
			return r, pending, ""
		}
		pending.Cancel()
		skip[r.ID] = true
		e.Add(r, r.Incarnation(), permit.Wait())
	}
	if len(e.Replicas) == 0 {
		return replica.Replica{}, nil, "no_replica"
	}
	p.exhausted = e
	if p.inFlight == 0 && !p.tried[e.Soonest.ID] && p.awaitTurn(p.ctx, e, false) {
		if r, pending, ok := p.f.Picker.Pick([]replica.Replica{e.Soonest}, nil, time.Now()); ok {
			return r, pending, ""
		}
	}
	return replica.Replica{}, nil, causeLimited
}

// awaitTurn waits for the next turn at the replica that takes a request first, and reports
// whether the request may be sent to it.
func (c *call) awaitTurn(ctx context.Context, e exhausted, urgent bool) bool {
	wait := c.limitWait()
	return e.Wait <= wait && c.f.Limiter.Acquire(ctx, e.Soonest.Incarnation(), ratelimit.Need{MaxWait: wait, Urgent: urgent}).Granted
}

// start is a path for a stream, with the engine at which it starts. release ends its
// reservation in the planner.
type start struct {
	first   replica.Replica
	path    route.Route
	release func()
}

// selectStart selects a path that starts at an engine that takes the request now. If all
// have reached their limits, it waits for the next turn if that is soon.
func (s *stream) selectStart() (st start, cause string) {
	v := s.f.Replicas.View()
	req := s.pathRequest()
	var e exhausted
	urgent := s.begun()
	if !urgent {
		// A running stream may be ahead of the rate, so it asks blocked engines, too.
		var blocked []replica.Replica
		e, blocked = s.newExhausted(v.ByService(s.service.Name))
		for _, r := range blocked {
			req.NotFirst[r.Address] = true
		}
	}
	for range maxLimited {
		st, ok := s.searchPath(v, req)
		if !ok {
			break
		}
		permit := s.f.Limiter.Acquire(s.ctx, st.first.Incarnation(), ratelimit.Need{Urgent: urgent})
		if permit.Granted {
			return st, ""
		}
		st.release()
		req.NotFirst[st.first.Address] = true
		e.Add(st.first, st.first.Incarnation(), permit.Wait())
	}
	if len(e.Replicas) == 0 {
		return start{}, causeNoPath
	}
	s.exhausted = e
	return s.awaitStart(v, req, e)
}

// awaitStart waits for the next turn at the engine that takes a request first, and selects
// a path that starts there.
func (s *stream) awaitStart(v *replica.View, req pipeline.PathRequest, e exhausted) (st start, cause string) {
	req.NotFirst = s.refusing(time.Now())
	req.FirstHops = map[string]bool{e.Soonest.Address: true}
	if !s.f.Planner.HasPath(v, req, time.Now()) || !s.awaitTurn(s.ctx, e, s.begun()) {
		return start{}, causeLimited
	}
	st, ok := s.searchPath(v, req)
	if !ok {
		return start{}, causeLimited
	}
	return st, ""
}

// searchPath returns the cheapest path.
func (s *stream) searchPath(v *replica.View, req pipeline.PathRequest) (st start, ok bool) {
	path, release, err := s.f.Planner.Path(v, req, time.Now())
	if err != nil {
		return start{}, false
	}
	first, ok := v.ByAddress(path.Hops[0].Address)
	if !ok {
		release()
		return start{}, false
	}
	return start{first: first, path: path, release: release}, true
}

// begun reports whether the caller already receives the answer.
func (s *stream) begun() bool { return !s.lastEventAt.IsZero() }
