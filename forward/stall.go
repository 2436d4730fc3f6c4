package forward

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"bulrushshed/replica"
)

const (
	// firstEventTimeout is how long the first event of an attempt may take before its
	// engines are looked at, and gapLook how long each further one may.
	firstEventTimeout = 260 * time.Millisecond
	nextEventTimeout  = 110 * time.Millisecond
	// recheckInterval is the time between two looks in one silence.
	recheckInterval = 40 * time.Millisecond
	// checkAllAfter is the silence behind which all engines of a path are
	// checked though other streams get through them, and leavePatience the one
	// behind which slow engines are left.
	checkAllAfter    = 160 * time.Millisecond
	rerouteSlowAfter = 900 * time.Millisecond
	// maxSilence is how long an attempt may be silent before it is given up
	// though no engine is known to hold it up.
	maxSilence = 1500 * time.Millisecond
	// repathTimeout bounds an order to an engine.
	repathTimeout = 250 * time.Millisecond
	// minDrainDelay and leaveTo bound the spread of times at which streams leave an
	// engine that drains.
	minDrainDelay = 700 * time.Millisecond
	maxDrainDelay = 1500 * time.Millisecond
	// roomTimeout is how long a stream looks for an engine with room that
	// takes over from one that is gone, before the attempt is given up.
	roomTimeout = time.Second
	// maxReroutes bounds how often one attempt is moved.
	maxReroutes = 3
)

// stallTimeout is how long to wait before the engines are looked at.
func (s *stream) stallTimeout() time.Duration {
	switch {
	case s.attempt.stallChecks > 0:
		return recheckInterval
	case s.attempt.events > 0:
		return nextEventTimeout
	}
	return firstEventTimeout
}

// checkStall searches for the engine that holds the stream up, and takes the stream
// off it. It returns why the attempt is to be given up, or "" to wait on.
func (s *stream) checkStall() string {
	s.attempt.stallChecks++
	now := time.Now()
	silent := s.attempt.progress.SilentFor(now)
	if silent > maxSilence {
		return s.abandon("silent")
	}
	suspects := s.attempt.progress.Suspects()
	if len(suspects) == 0 && silent < checkAllAfter {
		return ""
	}
	ttl := stalledResultTTL
	if len(suspects) == 0 {
		// Other streams get through all engines, so one of them may be slow.
		suspects, ttl = s.attempt.progress.Hops(), activeResultTTL
	}
	down := s.f.checker.check(s.f, suspects, ttl, s.req.ID, now)
	if len(down) > 0 {
		for _, address := range down {
			s.tried[address] = true
		}
		return s.rerouteOrAbandon("engine_gone", down)
	}
	if silent >= rerouteSlowAfter {
		s.rerouteOffSlow()
	}
	return ""
}

// rerouteOffSlow moves the stream off engines that say that they are slow, if that
// is easy; otherwise they are borne.
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

// canReroute reports whether the attempt can go on without some engines.
func (s *stream) canReroute(without []string) bool {
	return s.attempt.answered && s.attempt.reroutes < maxReroutes && !slices.Contains(without, s.attempt.first.Address)
}

// rerouteOrAbandon takes the stream off engines that are gone, and returns why the attempt
// is to be given up if that fails.
func (s *stream) rerouteOrAbandon(cause string, without []string) string {
	if s.canReroute(without) && s.reroute(cause, without) {
		return ""
	}
	if s.attempt.noRoom && s.attempt.progress.SilentFor(time.Now()) < roomTimeout {
		// Another engine may have room at the next look, and the others keep
		// what they hold until then.
		return ""
	}
	return s.abandon(cause)
}

// abandon gives the attempt up if another one can take over; if not, it may still
// come back.
func (s *stream) abandon(cause string) string {
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
	if !s.f.Budget.AllowRetry(s.service.Name, time.Now()) {
		return ""
	}
	s.prepaid = true
	return cause
}

// rerouteOffDraining takes the stream off engines that drain, or whose entry is gone,
// before they end. The streams of an engine leave one after the other, so that
// those that take over read their tokens in turn; many have ended by then.
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

// draining returns the engines of the path, but for the first, that drain or
// are not listed any more.
func (s *stream) draining(v *replica.View) []string {
	var all []string
	for _, h := range s.attempt.path.Hops[1:] {
		if r, ok := v.ByAddress(h.Address); !ok || r.Draining {
			all = append(all, h.Address)
		}
	}
	return all
}

// reroute takes the running stream to a path without some engines: the others
// keep what they hold of it.
func (s *stream) reroute(cause string, without []string) bool {
	path, release, err := s.f.Planner.Reroute(s.f.Replicas.View(), s.pathRequest(), s.attempt.path, time.Now())
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, repathTimeout)
	defer cancel()
	err = s.f.Upstream.Repath(ctx, s.attempt.first, s.req.ID, path)
	s.f.Log.Info("forward: moved", "request", s.req.ID, "cause", cause, "without", without, "error", errorText(err),
		"last_event", s.lastID, "hops", len(path.Hops))
	if err != nil {
		release()
		s.noteRepathError(err)
		return false
	}
	s.attempt.noRoom = false
	s.attempt.release()
	s.attempt.release = release
	s.attempt.path = path
	s.attempt.reroutes++
	s.attempt.progress.Untrack()
	s.attempt.progress = s.f.Pulse.Track(path, time.Now())
	s.attempt.events = 0
	s.attempt.stallChecks = 0
	s.f.Counter.Resumed("moved_" + cause)
	return true
}

// noteRepathError leaves an engine that has no room for the stream out for a moment.
func (s *stream) noteRepathError(err error) {
	var e *Error
	if !errors.As(err, &e) {
		s.attempt.noRoom = false
		return
	}
	s.attempt.noRoom = true
	if e.Address != "" {
		s.f.Planner.Suspect(e.Address, time.Now().Add(refusedExclusion))
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
