package forward

import (
	"context"
	"errors"
	"io"
	"maps"
	"strconv"
	"time"

	"bulrushshed/outcome"
	"bulrushshed/pipeline"
)

const (
	// suspectTime is how long an engine that failed a stream is left out.
	suspectTime = 4 * time.Second
	// shunTime is how long an engine that refused a stream is left out.
	shunTime = 300 * time.Millisecond
	// firstEvent is the number of a stream's first event; 0 is taken, too.
	firstEvent = 1
	// resumePatience is how long a stream that has begun waits for a path while
	// its caller stays: longer than callers bear a pause, so that they decide.
	// resumePause is the time between two looks for one.
	resumePatience = 3 * time.Second
	resumePause    = 100 * time.Millisecond
	// extraSends is how many sends beyond a rule's attempts a stream may take,
	// if replicas refuse it or one of them gets it again.
	extraSends = 2
)

// The causes of the end of an attempt, or of a stream.
const (
	// causeNoPath means that no path has room for a stream.
	causeNoPath   = "no_path"
	causeDeadline = "deadline"
	causeBudget   = "budget"
	causeAttempts = "attempts"
	// causeRefused means that a replica said that it did not run the request.
	causeRefused = "not_run"
	// notSent means that the replica got nothing.
	notSent = "not_sent"
)

// stream is a request that is answered by events. One goroutine at a time uses
// it: the one that opens it, and then the one that reads its body.
type stream struct {
	*call
	ctx    context.Context
	cancel context.CancelFunc

	// at is the running attempt, or nil.
	at *attempt
	// head is the first answer that a replica signed.
	head *UpstreamResponse
	// failed is what a replica answered that failed the request, or nil.
	failed *UpstreamResponse
	// ran names the replicas that have, or may have, run the request, and
	// unreachable counts those that could not be reached.
	ran         map[string]bool
	unreachable int
	// paid is set if the budget has been charged for the next attempt.
	paid bool
	// left is where the last attempt began, once it has ended.
	left string
	// last is the number of the last event that the caller has or gets now;
	// -1 if there is none.
	last int64
	// pending are bytes that Read has not handed over yet.
	pending []byte
	ended   bool
	// first is how long the first event took, and gap the longest pause
	// behind it; since is when the last event came.
	first time.Duration
	gap   time.Duration
	since time.Time
}

// stream serves a request by events. It answers when the first one is there.
func (c *call) stream(ctx context.Context, cancel context.CancelFunc) *Response {
	s := &stream{call: c, ctx: ctx, cancel: cancel, last: -1, ran: map[string]bool{}}
	if n, err := strconv.ParseInt(c.req.LastEvent, 10, 64); err == nil {
		s.last = n
	}
	cause := s.begin()
	if cause == "" {
		var e event
		e, cause = s.next()
		if cause == "" {
			s.deliver(e)
			s.f.Counter.FirstToken(c.customer, c.rule.Name, time.Since(c.req.Arrived))
			return &Response{Status: s.head.Status, Header: s.head.Header, Body: s, Streaming: true}
		}
	}
	defer cancel()
	s.drop()
	if s.failed != nil && s.failed.Sealed {
		c.finish(outcome.Answered, "failed_by_replica")
		return relay(s.failed)
	}
	if cause == causeNoPath && !c.mayHaveRun {
		s.logGap()
		return c.refuse(cause, spread(soon, later))
	}
	return c.giveUp(cause)
}

// logGap tells which layer could not be run.
func (s *stream) logGap() {
	layer, held := s.f.Planner.Gap(s.f.Replicas.View(), s.ask(), time.Now())
	s.f.Log.Info("forward: no path", "request", s.req.ID, "layer", layer, "engines", held, "tokens", s.tokens())
}

// begin starts an attempt at the best path, and returns why it could not, or "".
func (s *stream) begin() (cause string) {
	if cause := s.barred(); cause != "" {
		return cause
	}
	if s.sends > 0 && !s.paid && !s.f.Budget.Repeat(s.service.Name, time.Now()) {
		return causeBudget
	}
	s.paid = false
	v := s.f.Replicas.View()
	path, release, err := s.f.Planner.Path(v, s.ask(), time.Now())
	if err != nil {
		return causeNoPath
	}
	first, ok := v.ByAddress(path.Hops[0].Address)
	if !ok {
		release()
		return causeNoPath
	}
	s.sends++
	s.start(first, path, release)
	return ""
}

// ask is what the stream needs of a path.
func (s *stream) ask() pipeline.PathRequest { return s.askBut(s.ran) }

// askBut is what the stream needs of a path if some replicas have run it. Once
// these are as many as its rule allows, only one of them may get it again.
func (s *stream) askBut(ran map[string]bool) pipeline.PathRequest {
	a := pipeline.PathRequest{Service: s.service.Name, Model: s.service.Model, Tokens: s.tokens(), Avoid: maps.Clone(s.tried)}
	if len(ran) < s.rule.MaxAttempts {
		return a
	}
	a.First = ran
	for address := range ran {
		delete(a.Avoid, address)
	}
	if len(ran) > 1 && s.left != "" {
		a.Avoid[s.left] = true
	}
	return a
}

// barred returns why no attempt may begin now, or "".
func (s *stream) barred() string {
	if err := s.current(); err != nil {
		return err.Error()
	}
	switch {
	case s.ctx.Err() != nil || time.Until(s.end) < leastLeft:
		return causeDeadline
	case s.sends >= s.rule.MaxAttempts+extraSends, s.unreachable > maxUnreachable:
		return causeAttempts
	case len(s.ran) > 0 && !s.rule.Resumable:
		return "not_resumable"
	}
	return ""
}

// tokens is the expected length of prompt and answer.
func (s *stream) tokens() int {
	answer := s.req.HintTokens
	if answer <= 0 {
		answer = s.service.Model.TypicalAnswerTokens
	}
	if s.req.MaxTokens > 0 {
		answer = min(answer, s.req.MaxTokens)
	}
	return max(s.req.PromptTokens, 0) + answer
}

func (s *stream) lastEvent() string {
	if s.last < 0 {
		return s.req.LastEvent
	}
	return strconv.FormatInt(s.last, 10)
}

// next returns the next event that the caller lacks, with its err set to io.EOF
// at the whole end; or why there is none.
func (s *stream) next() (e event, cause string) {
	timer := time.NewTimer(s.patience())
	defer timer.Stop()
	for {
		select {
		case n, open := <-s.at.news:
			e, cause = s.take(n, open)
			if cause == "" && (e.numbered || errors.Is(e.err, io.EOF)) {
				return e, ""
			}
		case <-timer.C:
			cause = s.look()
		case <-s.ctx.Done():
			return event{}, causeDeadline
		}
		if cause != "" {
			if cause = s.resume(cause); cause != "" {
				return event{}, cause
			}
		}
		timer.Reset(s.patience())
	}
}

// take takes one step of the attempt. The event is numbered if the caller lacks
// it; cause tells why the attempt failed.
func (s *stream) take(n news, open bool) (e event, cause string) {
	if !open {
		return event{}, "broken_stream"
	}
	if !s.at.answered {
		return event{}, s.takeHead(n)
	}
	e = n.event
	if errors.Is(e.err, io.EOF) {
		return e, ""
	}
	if e.err != nil {
		return event{}, "broken_stream"
	}
	if !e.numbered {
		return event{}, "not_an_event"
	}
	now := time.Now()
	s.at.beat.Event(now)
	s.at.looks = 0
	s.at.events++
	s.leaveDraining(now)
	if e.id <= s.last {
		return event{}, ""
	}
	if e.id != s.last+1 && (s.last >= 0 || e.id != firstEvent) {
		return event{}, "gap"
	}
	s.last = e.id
	return e, ""
}

// resume goes on behind the last event at another path.
func (s *stream) resume(why string) (cause string) {
	broken := s.at
	s.drop()
	s.left = broken.first.Address
	if why != causeRefused {
		s.tried[s.left] = true
	}
	s.f.Counter.Resumed(why)
	s.f.Log.Info("forward: resuming", "request", s.req.ID, "cause", why, "replica", broken.first.ID,
		"last_event", s.last, "sends", s.sends, "ran", len(s.ran))
	for {
		cause = s.begin()
		if cause != causeNoPath && cause != causeBudget || !s.mayWait() {
			return cause
		}
		select {
		case <-time.After(resumePause):
		case <-s.ctx.Done():
			return causeDeadline
		}
	}
}

// mayWait reports whether a stream that its caller is reading may stand still for
// some more time until a path has room: that is better than to break it off.
func (s *stream) mayWait() bool {
	return !s.since.IsZero() && time.Since(s.since) < resumePatience
}

// drop ends the running attempt. One that has not answered may have run.
func (s *stream) drop() {
	if s.at == nil {
		return
	}
	if !s.at.settled {
		s.mayRun(s.at.first)
	}
	s.at.stop()
	s.at = nil
}

func (s *stream) deliver(e event) {
	if e.err != nil {
		s.conclude(outcome.Answered, "")
		return
	}
	now := time.Now()
	if s.since.IsZero() {
		s.first = now.Sub(s.req.Arrived)
	} else {
		s.gap = max(s.gap, now.Sub(s.since))
	}
	s.since = now
	s.pending = e.bytes
}

// conclude ends the stream.
func (s *stream) conclude(kind outcome.Kind, cause string) {
	s.ended = true
	replica := ""
	if s.at != nil {
		replica = s.at.first.ID
	}
	s.finish(kind, cause, "replica", replica, "first_ms", s.first.Milliseconds(), "max_gap_ms", s.gap.Milliseconds(), "last_event", s.last)
	s.drop()
	s.cancel()
}

// Read returns the bytes of the next event. It fails where the stream breaks
// off for good, so that the answer does not look complete.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.pending) == 0 && !s.ended {
		began := time.Now()
		e, cause := s.next()
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

// Close ends the stream if it has not ended.
func (s *stream) Close() error {
	if !s.ended {
		s.conclude(outcome.Unknown, "caller_left")
	}
	return nil
}
