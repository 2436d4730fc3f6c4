package forward

import (
	"maps"
	"time"

	"bulrushshed/pipeline"
)

// retryAfterNoPath returns when the caller of a stream without a path should return. It
// logs the layer that no engine could run.
func (s *stream) retryAfterNoPath() time.Duration {
	u := s.f.Planner.UnservedLayer(s.f.Replicas.View(), s.pathRequest(), time.Now())
	s.f.Log.Info("forward: no path for stream", "request", s.req.ID, "layer", u.Layer, "engines", u.Holders, "full", u.Full, "tokens", s.tokens())
	if u.Layer >= 0 && u.Full == 0 {
		return randomDuration(minRestoreRetryAfter, maxRestoreRetryAfter)
	}
	return randomDuration(minRetryAfter, maxRetryAfter)
}

// startAttempt starts an attempt on the best path. It returns why it could not, or "".
func (s *stream) startAttempt() (cause string) {
	if cause := s.whyBlocked(); cause != "" {
		return cause
	}
	st, cause := s.selectStart()
	if cause != "" {
		return cause
	}
	if s.sends > 0 && !s.retryCharged && !s.allowRetry(s.ctx, s.begun(), false) {
		st.release()
		return causeBudget
	}
	s.retryCharged = false
	s.sends++
	s.launch(st)
	return ""
}

// pathRequest returns the requirements of the stream for a path.
func (s *stream) pathRequest() pipeline.PathRequest { return s.pathRequestAfter(s.ran) }

// pathRequestAfter returns the requirements of the stream for a path after the given
// replicas have run it. Once as many have as the rule allows attempts, only one of
// them may receive it again.
func (s *stream) pathRequestAfter(ran map[string]bool) pipeline.PathRequest {
	req := pipeline.PathRequest{
		Service: s.service.Name, Model: s.service.Model, Tokens: s.tokens(), Avoid: maps.Clone(s.tried), NotFirst: s.refusing(time.Now()),
	}
	if len(ran) < s.rule.MaxAttempts {
		return req
	}
	req.FirstHops = ran
	for address := range ran {
		delete(req.Avoid, address)
	}
	if len(ran) > 1 && s.lastFirstHop != "" {
		req.Avoid[s.lastFirstHop] = true
	}
	return req
}

// refusing returns the engines that have just refused the stream.
func (s *stream) refusing(now time.Time) map[string]bool {
	refusing := map[string]bool{}
	for address, until := range s.refusedUntil {
		if now.Before(until) {
			refusing[address] = true
		}
	}
	return refusing
}

// outOfSends reports whether the stream may not be sent again. Once its caller reads the
// answer, refusals and unreachable engines do not end it: it waits until an engine takes it.
func (s *stream) outOfSends() bool {
	limit := s.rule.MaxAttempts + extraSends
	if s.begun() {
		return s.sends-s.refusals >= limit
	}
	return s.sends >= limit || s.unreachable > maxUnreachable
}

// whyBlocked returns why no attempt may start now, or "".
func (s *stream) whyBlocked() string {
	if err := s.reauthorize(); err != nil {
		return err.Error()
	}
	switch {
	case s.ctx.Err() != nil || time.Until(s.deadline) < minRemaining:
		return causeDeadline
	case s.outOfSends():
		return causeAttempts
	case len(s.ran) > 0 && !s.rule.Resumable:
		return "not_resumable"
	}
	return s.whyQuarantined(s.f.Quarantine.Admit(s.req.ID, s.features, time.Now()))
}

// resume continues the stream after the last event by a new attempt on another path.
// It returns why it could not, or "".
func (s *stream) resume(resumeCause string) (cause string) {
	broken := s.attempt
	s.observeCrash(resumeCause)
	s.endAttempt()
	s.lastFirstHop = broken.first.Address
	if resumeCause != causeRefused {
		s.tried[s.lastFirstHop] = true
	}
	s.f.Counter.Resumed(resumeCause)
	s.f.Log.Info("forward: attempt failed, resuming stream", "request", s.req.ID, "cause", resumeCause, "replica", broken.first.ID,
		"last_event", s.lastID, "sends", s.sends, "ran", len(s.ran), "events", broken.events, "error", errorText(broken.err), "parts", formatParts(s.req.SharedParts))
	for {
		cause = s.startAttempt()
		if !isTransient(cause) || !s.canAwaitPath() {
			return cause
		}
		select {
		case <-time.After(resumeInterval):
		case <-s.ctx.Done():
			return causeDeadline
		}
	}
}

// isTransient reports whether a reason not to start an attempt may soon be gone.
func isTransient(cause string) bool {
	return cause == causeNoPath || cause == causeBudget || cause == causeQuarantined || cause == causeLimited
}

// canAwaitPath reports whether a stream that its caller is reading may pause longer
// until a path has capacity, which is better than breaking it off.
func (s *stream) canAwaitPath() bool {
	return s.begun() && time.Since(s.lastEventAt) < resumeTimeout
}

// endAttempt ends the running attempt. If its send has had no result yet, the replica
// may have run the request.
func (s *stream) endAttempt() {
	if s.attempt == nil {
		return
	}
	if !s.attempt.headReceived {
		s.markMayHaveRun(s.attempt.first)
	}
	s.attempt.stop()
	s.attempt = nil
}
