package forward

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"bulrushshed/ratelimit"
	"bulrushshed/replica"
	"bulrushshed/route"
)

const (
	// firstEventTimeout is how long the first event of an attempt may take before
	// its engines are checked. Each later one may take gapFactor times the longest gap
	// of the last few events and gapMargin more, but no less than minNextEventTimeout and
	// no more than maxNextEventTimeout.
	firstEventTimeout   = 260 * time.Millisecond
	minNextEventTimeout = 50 * time.Millisecond
	maxNextEventTimeout = 110 * time.Millisecond
	gapFactor           = 1.5
	gapMargin           = 15 * time.Millisecond
	// promptRecheckInterval is the interval between the first promptRechecks checks
	// during one stall, in which engines that refuse connections are found, and
	// recheckInterval that between later ones.
	promptRecheckInterval = 15 * time.Millisecond
	promptRechecks        = 8
	recheckInterval       = 40 * time.Millisecond
	// checkAllAfter is the stall after which all engines of a path are checked
	// although other streams receive events through them, and rerouteSlowAfter the
	// one after which the stream is rerouted off slow engines.
	checkAllAfter    = 160 * time.Millisecond
	rerouteSlowAfter = 900 * time.Millisecond
	// maxStall is how long an attempt may stall before it is abandoned although
	// no engine is known to cause the stall.
	maxStall = 1500 * time.Millisecond
	// repathTimeout limits the order to reroute a stream, Upstream.Repath.
	repathTimeout = 250 * time.Millisecond
	// minDrainDelay and maxDrainDelay bound the random delay after which streams
	// are rerouted off a draining engine.
	minDrainDelay = 700 * time.Millisecond
	maxDrainDelay = 1500 * time.Millisecond
	// capacityTimeout is how long a stream looks for an engine with capacity to
	// replace one that is down, before the attempt is abandoned.
	capacityTimeout = time.Second
	// maxReroutes limits the reroutes of one attempt.
	maxReroutes = 3
)

// stallTimeout returns how long to wait for an event before the engines are checked.
func (s *stream) stallTimeout() time.Duration {
	switch {
	case s.attempt.stallChecks > promptRechecks:
		return recheckInterval
	case s.attempt.stallChecks > 0:
		return promptRecheckInterval
	case s.attempt.events > 0:
		return s.attempt.gaps.timeout()
	}
	return firstEventTimeout
}

// checkStall looks for the engines that stall the stream and reroutes the stream off
// them. It returns why the attempt must be abandoned, or "" to continue waiting.
func (s *stream) checkStall() string {
	s.attempt.stallChecks++
	now := time.Now()
	stalledFor := s.attempt.progress.SinceLastEvent(now)
	if stalledFor > maxStall {
		return s.tryAbandon("silent")
	}
	if s.lostLink() {
		return s.tryAbandon("link_down")
	}
	candidates := s.attempt.progress.StallCandidates()
	if len(candidates) == 0 && stalledFor < checkAllAfter {
		return ""
	}
	ttl := stalledResultTTL
	if len(candidates) == 0 {
		// Other streams receive events through all engines, so one of them may be slow.
		candidates, ttl = s.attempt.progress.Addresses(), activeResultTTL
	}
	down := s.f.checker.check(s.f, candidates, ttl, s.req.ID, now)
	if len(down) > 0 {
		for _, address := range down {
			s.tried[address] = true
		}
		return s.rerouteOrAbandon("engine_gone", down)
	}
	if stalledFor >= rerouteSlowAfter {
		s.rerouteOffSlow()
	}
	return ""
}

// lostLink reports whether the link to the first engine has gone down since the attempt
// began. Its connection is lost then, while a new one is relayed.
func (s *stream) lostLink() bool {
	if s.f.Links == nil {
		return false
	}
	since, down := s.f.Links.DownSince(s.attempt.first.Address)
	return down && since.After(s.attempt.startedAt)
}

// rerouteOffSlow reroutes the stream off engines that report that they are slow. If it
// can't be rerouted, the stream stays on them.
func (s *stream) rerouteOffSlow() {
	var slow []string
	for _, h := range s.attempt.path.Hops[1:] {
		if s.f.Planner.Slow(h.Address) {
			slow = append(slow, h.Address)
			s.tried[h.Address] = true
		}
	}
	if len(slow) > 0 && s.canReroute(slow) {
		s.reroute("engine_slow", slow)
	}
}

// canReroute reports whether the attempt can continue without the given engines.
func (s *stream) canReroute(without []string) bool {
	return s.attempt.answered && s.attempt.reroutes < maxReroutes && !slices.Contains(without, s.attempt.first.Address)
}

// rerouteOrAbandon reroutes the stream off engines that are down. It returns why the
// attempt must be abandoned if that fails.
func (s *stream) rerouteOrAbandon(cause string, without []string) string {
	if s.canReroute(without) && s.reroute(cause, without) {
		return ""
	}
	if s.attempt.noCapacity && s.attempt.progress.SinceLastEvent(time.Now()) < capacityTimeout {
		// An engine may have capacity at the next check; until then, the other
		// engines keep their KV cache of the stream.
		return ""
	}
	return s.tryAbandon(cause)
}

// tryAbandon returns cause if another attempt can replace this one, and charges that
// attempt to the budget. Otherwise it returns "", as this attempt may still recover.
func (s *stream) tryAbandon(cause string) string {
	first := s.attempt.first.Address
	ran := maps.Clone(s.ran)
	ran[first] = true
	if len(ran) == 1 && s.rule.MaxAttempts == 1 {
		return ""
	}
	req := s.pathRequestAfter(ran)
	req.Avoid[first] = true
	if s.whyBlocked() != "" || !s.f.Planner.HasPath(s.f.Replicas.View(), req, time.Now()) {
		return ""
	}
	if !s.allowRetry(s.ctx, s.begun(), false) {
		return ""
	}
	s.retryCharged = true
	return cause
}

// rerouteOffDraining reroutes the stream off engines that drain, or are no longer
// listed, before they stop. The streams of an engine are rerouted at random times, so
// that the engines that take over prefill their tokens one after the other; many
// streams end before that.
func (s *stream) rerouteOffDraining(now time.Time) {
	a := s.attempt
	v := s.f.Replicas.View()
	if v.Revision != a.revision {
		a.revision = v.Revision
		a.rerouteAt = time.Time{}
		if len(s.draining(v)) > 0 {
			a.rerouteAt = now.Add(randomDuration(minDrainDelay, maxDrainDelay))
		}
	}
	if a.rerouteAt.IsZero() || now.Before(a.rerouteAt) {
		return
	}
	a.rerouteAt = time.Time{}
	if without := s.draining(v); len(without) > 0 && s.canReroute(without) {
		s.reroute("engine_leaving", without)
	}
}

// draining returns the engines of the path, other than the first, that drain or are no
// longer listed.
func (s *stream) draining(v *replica.View) []string {
	var all []string
	for _, h := range s.attempt.path.Hops[1:] {
		if r, ok := v.ByAddress(h.Address); !ok || r.Draining {
			all = append(all, h.Address)
		}
	}
	return all
}

// reroute moves the running stream to a path without the given engines, and reports
// whether that succeeded. The planner does not select these engines, because s.tried
// has them or because they drain; without is only logged. The other engines keep
// their KV cache of the stream.
func (s *stream) reroute(cause string, without []string) bool {
	path, release, err := s.searchReroute()
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, repathTimeout)
	defer cancel()
	if !s.f.Limiter.Acquire(ctx, s.attempt.first.Incarnation(), ratelimit.Need{Urgent: true}).Granted {
		release()
		s.attempt.noCapacity = true
		return false
	}
	err = s.f.Upstream.Repath(ctx, s.attempt.first, s.req.ID, path)
	s.f.Log.Info("forward: stream reroute attempted", "request", s.req.ID, "cause", cause, "without", without, "error", errorText(err),
		"last_event", s.lastID, "hops", len(path.Hops))
	if err != nil {
		release()
		s.handleRepathError(err, path)
		return false
	}
	s.attempt.noCapacity = false
	s.attempt.release()
	s.attempt.release = release
	s.attempt.path = path
	s.attempt.reroutes++
	s.attempt.progress.Untrack()
	s.attempt.progress = s.f.Progress.Track(path, time.Now())
	s.attempt.events = 0
	s.attempt.stallChecks = 0
	s.f.Counter.Resumed("moved_" + cause)
	return true
}

// searchReroute returns another path for the running stream, without the engines that had
// no capacity for it a moment ago if possible.
func (s *stream) searchReroute() (r route.Route, release func(), err error) {
	now := time.Now()
	req := s.pathRequest()
	for address, until := range s.attempt.noCapacityUntil {
		if now.Before(until) {
			req.Avoid[address] = true
		}
	}
	r, release, err = s.f.Planner.Reroute(s.f.Replicas.View(), req, s.attempt.path, now)
	if err != nil && len(s.attempt.noCapacityUntil) > 0 {
		return s.f.Planner.Reroute(s.f.Replicas.View(), s.pathRequest(), s.attempt.path, now)
	}
	return r, release, err
}

// newHops returns the addresses of the engines of a route that hold layers which they did
// not hold on the old one.
func newHops(r, old route.Route) []string {
	held := lo.SliceToMap(old.Hops, func(h route.Hop) (string, route.Range) { return h.Address, h.Layers })
	return lo.FilterMap(r.Hops, func(h route.Hop, _ int) (string, bool) { return h.Address, held[h.Address] != h.Layers })
}

// handleRepathError excludes an engine that has no capacity for the stream from new
// paths for refusedExclusion. If the refusal does not name it, it is one of the engines
// that the path adds; unless there is only one, they are excluded for this stream alone.
func (s *stream) handleRepathError(err error, path route.Route) {
	added := newHops(path, s.attempt.path)
	var e *Error
	if !errors.As(err, &e) {
		s.attempt.noCapacity = false
		return
	}
	s.attempt.noCapacity = true
	now := time.Now()
	until := now.Add(refusedExclusion)
	address := e.Address
	if address == "" && len(added) == 1 {
		address = added[0]
	}
	if address == "" {
		for _, address := range added {
			s.attempt.noCapacityUntil[address] = until
		}
		return
	}
	s.f.Planner.SuspectBusy(address, until)
	s.f.findFull(address, path, until, now)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
