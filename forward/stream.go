package forward

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"bulrushshed/outcome"
)

const (
	// failedExclusion is how long an engine that failed a stream is excluded from
	// new paths, and refusedExclusion how long one that refused a stream is.
	failedExclusion  = 4 * time.Second
	refusedExclusion = 300 * time.Millisecond
	// firstEventID is the ID of a stream's first event; 0 is also accepted.
	firstEventID = 1
	// resumeTimeout is how long a stream that has begun waits for a path while
	// its caller stays connected. It exceeds the pause that callers tolerate, so
	// that callers decide when to give up. resumeInterval is the interval at which
	// paths are searched.
	resumeTimeout  = 3 * time.Second
	resumeInterval = 100 * time.Millisecond
	// extraSends is how many sends beyond the rule's MaxAttempts a stream may use,
	// if replicas refuse it before it begins or one of them receives it again.
	extraSends = 2
)

// Causes of the end of an attempt or of a stream.
const (
	// causeNoPath means that no path has capacity for a stream.
	causeNoPath   = "no_path"
	causeDeadline = "deadline"
	causeBudget   = "budget"
	causeAttempts = "attempts"
	// causeLimited means that the replicas take no more requests for a moment.
	causeLimited = "limited"
	// causeRefused means that a replica stated that it did not run the request.
	causeRefused = "not_run"
	// causeUnstatedRefusal means that a replica answered with a status that promises that
	// the request did not run, but did not state that it hadn't run it.
	causeUnstatedRefusal = "unstated_refusal"
	// causeFailedByReplica means that a replica answered with a failure, causeUnsigned that
	// a successful answer lacks the replica's signature, and causeBrokenBody that the body of
	// an answer could not be read.
	causeFailedByReplica = "failed_by_replica"
	causeUnsigned        = "unsigned"
	causeBrokenBody      = "broken_body"
	// causeNotSent means that the replica received nothing.
	causeNotSent = "not_sent"
	// causeBroken means that an answer broke off after its head, and causeBrokenAnswer
	// that it did so before.
	causeBroken       = "broken_stream"
	causeBrokenAnswer = "broken_answer"
	// causeQuarantined means that the request may crash replicas.
	causeQuarantined = "quarantined"
)

// stream is a request that is answered by events. It is used by one goroutine at a
// time: the one that opens it, and then the one that reads its body.
type stream struct {
	*call
	ctx    context.Context
	cancel context.CancelFunc

	// attempt is the running attempt, or nil.
	attempt *attempt
	// head is the first successful answer that a replica signed. The caller receives
	// its status and header fields.
	head *UpstreamResponse
	// failure is the answer of a replica that failed the request, and that the caller may
	// receive, or nil.
	failure *UpstreamResponse
	// ran has the addresses of replicas that have, or may have, run the request;
	// unreachable counts those that could not be reached.
	ran         map[string]bool
	unreachable int
	// refusals counts the sends that were answered as not run. refusedUntil holds, by address, until when an engine that has just refused the
	// stream is not asked again.
	refusals     int
	refusedUntil map[string]time.Time
	// retryCharged is set if the next attempt has been charged to the budget already.
	retryCharged bool
	// lastFirstHop is the address at which the last attempt started, once it has
	// ended.
	lastFirstHop string
	// lastID is the ID of the last event that the caller has received or is
	// receiving; -1 if there is none.
	lastID int64
	// pending are bytes that Read has not returned yet.
	pending []byte
	ended   bool
	// firstEventLatency is the time until the first event, maxGap the longest
	// pause between later ones, and lastEventAt the time of the last event.
	firstEventLatency time.Duration
	maxGap            time.Duration
	lastEventAt       time.Time
}

// serveStream serves a request by events. It returns once the first event is available
// or the request has failed.
func (c *call) serveStream(ctx context.Context, cancel context.CancelFunc) *Response {
	s := &stream{call: c, ctx: ctx, cancel: cancel, lastID: -1, ran: map[string]bool{}, refusedUntil: map[string]time.Time{}}
	if n, err := strconv.ParseInt(c.req.LastEvent, 10, 64); err == nil {
		s.lastID = n
	}
	s.f.awaitFindings(s.ctx, c.rule)
	cause := s.startAttempt()
	if cause == "" {
		var e event
		e, cause = s.nextEvent()
		if cause == "" {
			s.deliver(e)
			s.f.Counter.FirstToken(c.customer, c.rule.Name, time.Since(c.req.Arrived))
			return &Response{Status: s.head.Status, Header: s.head.Header, Body: s, Streaming: true}
		}
	}
	defer cancel()
	s.endAttempt()
	if s.failure != nil && s.failure.Signed {
		c.finish(outcome.Answered, causeFailedByReplica)
		return responseFrom(s.failure)
	}
	switch {
	case c.mayHaveRun:
	case cause == causeNoPath:
		return c.refuse(cause, s.retryAfterNoPath())
	}
	return c.giveUp(cause)
}

// tokens returns the expected length of prompt and answer together.
func (s *stream) tokens() int {
	answerTokens := s.req.HintTokens
	if answerTokens <= 0 {
		answerTokens = s.service.Model.TypicalAnswerTokens
	}
	if s.req.MaxTokens > 0 {
		answerTokens = min(answerTokens, s.req.MaxTokens)
	}
	return max(s.req.PromptTokens, 0) + answerTokens
}

func (s *stream) lastEvent() string {
	if s.lastID < 0 {
		return s.req.LastEvent
	}
	return strconv.FormatInt(s.lastID, 10)
}

// nextEvent returns the next event that the caller has not received, with err set to
// io.EOF at the complete end of the stream. Otherwise it returns why there is none.
func (s *stream) nextEvent() (e event, cause string) {
	s.attempt.releaseTaken()
	timer := time.NewTimer(s.stallTimeout())
	defer timer.Stop()
	for {
		select {
		case u, open := <-s.attempt.updates:
			e, cause = s.handleUpdate(u, open)
			if cause == "" && (e.hasID || errors.Is(e.err, io.EOF)) {
				return e, ""
			}
			if cause == "" && u.answer == nil {
				// A repeated event must not postpone the next check.
				s.attempt.releaseTaken()
				continue
			}
		case <-timer.C:
			cause = s.checkStall()
		case <-s.ctx.Done():
			return event{}, causeDeadline
		}
		if cause != "" {
			if cause = s.resume(cause); cause != "" {
				return event{}, cause
			}
		}
		timer.Reset(s.stallTimeout())
	}
}

// handleUpdate processes one update of the attempt. It returns the event if the caller
// has not received it, and otherwise an event without an ID. cause tells why the
// attempt failed, or is "".
func (s *stream) handleUpdate(u update, open bool) (e event, cause string) {
	if !open {
		return event{}, causeBroken
	}
	s.attempt.takenBytes += len(u.event.bytes)
	if !s.attempt.answered {
		return event{}, s.handleHead(u)
	}
	e = u.event
	if errors.Is(e.err, io.EOF) {
		s.attempt.observed.RecordEnd(time.Now())
		return e, ""
	}
	if e.err != nil {
		s.attempt.err = e.err
		return event{}, causeBroken
	}
	if !e.hasID {
		return event{}, "not_an_event"
	}
	now := time.Now()
	s.attempt.observed.RecordEvent(now)
	s.rerouteOffDraining(now)
	if e.id <= s.lastID {
		// The caller has this event, so it is no progress.
		return event{}, ""
	}
	if e.id != s.lastID+1 && (s.lastID >= 0 || e.id != firstEventID) {
		return event{}, "gap"
	}
	if s.attempt.events > 0 && s.attempt.stallChecks == 0 {
		s.attempt.gaps.record(s.attempt.progress.SinceLastEvent(now))
	}
	s.attempt.progress.RecordEvent(now)
	s.attempt.stallChecks = 0
	s.attempt.events++
	s.lastID = e.id
	return e, ""
}

// deliver hands an event to Read, or concludes the stream if e is its end.
func (s *stream) deliver(e event) {
	if e.err != nil {
		s.conclude(outcome.Answered, "")
		return
	}
	now := time.Now()
	if s.lastEventAt.IsZero() {
		s.firstEventLatency = now.Sub(s.req.Arrived)
	} else {
		s.maxGap = max(s.maxGap, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.pending = e.bytes
}

// conclude ends the stream and logs its outcome.
func (s *stream) conclude(kind outcome.Kind, cause string) {
	s.ended = true
	replica := ""
	if s.attempt != nil {
		replica = s.attempt.first.ID
	}
	s.finish(kind, cause, "replica", replica, "first_ms", s.firstEventLatency.Milliseconds(), "max_gap_ms", s.maxGap.Milliseconds(), "last_event", s.lastID)
	s.endAttempt()
	s.cancel()
}

// Read returns the bytes of the next event. It returns io.ErrUnexpectedEOF if the
// stream breaks off for good, so that the answer does not look complete.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.pending) == 0 && !s.ended {
		began := time.Now()
		e, cause := s.nextEvent()
		if cause != "" {
			s.conclude(outcome.Unknown, cause)
			return 0, io.ErrUnexpectedEOF
		}
		s.f.Counter.BetweenTokens(s.customer, s.rule.Name, time.Since(began))
		s.deliver(e)
	}
	if len(s.pending) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// Pending returns the number of bytes of the current event that Read has not returned yet.
func (s *stream) Pending() int { return len(s.pending) }

// Close ends the stream if it has not ended.
func (s *stream) Close() error {
	if !s.ended {
		s.conclude(outcome.Unknown, "caller_left")
	}
	return nil
}
