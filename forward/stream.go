package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"bulrushshed/outcome"
	"bulrushshed/pipeline"
	"bulrushshed/replica"
	"bulrushshed/route"
)

const (
	// firstWait is how long the first event of an attempt may take before the
	// engines of the path are asked, and gapWait how long each further one may.
	firstWait = 400 * time.Millisecond
	gapWait   = 250 * time.Millisecond
	// silence is how long an attempt may be silent before it is given up
	// though no engine is known to hold it up.
	silence = 1100 * time.Millisecond
	// suspectTime is how long an engine that failed a stream is left out.
	suspectTime = 3 * time.Second
	// shunTime is how long an engine that refused a stream is left out.
	shunTime = 300 * time.Millisecond
	// usualAnswer is the number of tokens of an answer whose length nobody
	// estimates.
	usualAnswer = 150
	// extraSends is how many sends beyond a rule's attempts a stream may take
	// if replicas refuse it.
	extraSends = 2
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
	head *Answer
	// failed is what a replica answered that failed the request, or nil.
	failed *Response
	// runs counts the replicas that have, or may have, run the request.
	runs int
	// last is the number of the last event that the caller has or gets now;
	// -1 if there is none.
	last int64
	// quiet is when the last event came, or the attempt began.
	quiet time.Time
	// pending are bytes that Read has not handed over yet.
	pending []byte
	events  int
	ended   bool
}

// attempt is one run at one path.
type attempt struct {
	first   replica.Replica
	path    route.Route
	answer  *Answer
	events  chan event
	done    chan struct{}
	cancel  context.CancelFunc
	release func()
	// asked is how often the engines of the path were asked since the last
	// event.
	asked int
}

func (a *attempt) stop() {
	a.cancel()
	close(a.done)
	_ = a.answer.Body.Close()
	a.release()
}

// stream serves a request by events. It answers when the first one is there.
func (c *call) stream(ctx context.Context, cancel context.CancelFunc) *Response {
	s := &stream{call: c, ctx: ctx, cancel: cancel, last: -1}
	if n, err := strconv.ParseInt(c.req.LastEvent, 10, 64); err == nil {
		s.last = n
	}
	cause, ok := s.begin()
	if ok {
		var e event
		if e, cause, ok = s.next(); ok || e.err == io.EOF {
			s.deliver(e)
			s.f.Counter.FirstToken(c.customer, c.rule.Name, time.Since(c.req.Arrived))
			return &Response{Status: s.head.Status, Header: s.head.Header, Length: -1, Body: s, Streaming: true}
		}
	}
	defer cancel()
	s.drop()
	if s.failed != nil {
		return c.orLast(s.failed, cause)
	}
	if cause == causeNoPath && !c.mayHaveRun {
		return c.refuse(cause, spread(soon, later))
	}
	return c.giveUp(cause)
}

// causeNoPath means that no path has room for a stream.
const causeNoPath = "no_path"

// begin starts an attempt; it tries several paths if engines refuse.
func (s *stream) begin() (cause string, ok bool) {
	unreachable := 0
	for {
		if cause := s.barred(); cause != "" {
			return cause, false
		}
		if s.sends > 0 && !s.f.Budget.Repeat(s.service.Name, time.Now()) {
			return "budget", false
		}
		cause := s.send()
		if cause == "" {
			return "", true
		}
		if cause == causeNoPath {
			return cause, false
		}
		if cause == notSent {
			if unreachable++; unreachable > maxUnreachable {
				return cause, false
			}
		}
		s.f.Log.Info("forward: retrying", "request", s.req.ID, "cause", cause, "sends", s.sends, "runs", s.runs, "last_event", s.last)
	}
}

// barred returns why no attempt may begin now, or "".
func (s *stream) barred() string {
	if err := s.current(); err != nil {
		return err.Error()
	}
	switch {
	case s.ctx.Err() != nil || time.Until(s.end) < leastLeft:
		return "deadline"
	case s.runs >= s.rule.MaxAttempts, s.sends >= s.rule.MaxAttempts+extraSends:
		return "attempts"
	case s.runs > 0 && !s.rule.Resumable:
		return "not_resumable"
	}
	return ""
}

// send sends the request over the best path, and returns why that failed, or "".
func (s *stream) send() (cause string) {
	now := time.Now()
	v := s.f.Replicas.View()
	ask := pipeline.Ask{Service: s.service.Name, Model: s.service.Model, Tokens: s.tokens(), Avoid: s.tried}
	path, release, err := s.f.Planner.Path(v, ask, now)
	if err != nil {
		return causeNoPath
	}
	first, ok := v.At(path.Hops[0].Address)
	if !ok {
		release()
		return causeNoPath
	}
	ctx, cancel := context.WithCancel(s.ctx)
	a, err := s.f.Upstream.Send(ctx, Send{
		Request: s.req, Replica: first, Path: path, Left: time.Until(s.end), Customer: s.customer, LastEvent: s.lastEvent(),
	})
	fail := func(cause string) string {
		cancel()
		release()
		if a != nil {
			_ = a.Body.Close()
		}
		return cause
	}
	if errors.Is(err, ErrNotSent) {
		s.tried[first.Address] = true
		s.f.Planner.Suspect(first.Address, now.Add(suspectTime))
		return fail(notSent)
	}
	s.sends++
	if err != nil {
		s.ran(first.Address)
		return fail("broken_answer")
	}
	if a.NotRun {
		s.shun(a, first)
		return fail("not_run")
	}
	s.mayHaveRun = true
	s.runs++
	if a.Status != http.StatusOK || !a.Sealed {
		s.tried[first.Address] = true
		if body, err := readWhole(a); err == nil && a.Sealed {
			s.failed = wholeResponse(a, body)
		}
		return fail("failed_by_replica")
	}
	s.follow(&attempt{first: first, path: path, answer: a, cancel: cancel, release: release})
	return ""
}

// ran notes that an engine may have run the request and broke it off.
func (s *stream) ran(address string) {
	s.mayHaveRun = true
	s.runs++
	s.tried[address] = true
}

// shun leaves the engine that refused the stream out for a moment.
func (s *stream) shun(a *Answer, first replica.Replica) {
	at := a.Fault
	if at == "" {
		at = first.Address
	}
	s.tried[at] = true
	s.f.Planner.Suspect(at, time.Now().Add(shunTime))
}

// tokens is the expected length of prompt and answer.
func (s *stream) tokens() int {
	answer := s.req.HintTokens
	if answer <= 0 {
		answer = usualAnswer
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

// follow reads the events of an attempt.
func (s *stream) follow(a *attempt) {
	a.events = make(chan event, 4)
	a.done = make(chan struct{})
	s.at = a
	s.quiet = time.Now()
	if s.head == nil {
		s.head = a.answer
	}
	go readEvents(a.answer.Body, a.events, a.done)
}

// next returns the next event that the caller lacks. At the whole end the
// event's err is io.EOF.
func (s *stream) next() (e event, cause string, ok bool) {
	timer := time.NewTimer(s.patience())
	defer timer.Stop()
	for {
		select {
		case e := <-s.at.events:
			cause := s.check(e)
			if cause == skipped {
				continue
			}
			if cause == "" {
				return e, "", e.err == nil
			}
			if cause, ok := s.resume(cause); !ok {
				return event{err: io.ErrUnexpectedEOF}, cause, false
			}
		case <-timer.C:
			if cause := s.stalled(); cause != "" {
				if cause, ok := s.resume(cause); !ok {
					return event{err: io.ErrUnexpectedEOF}, cause, false
				}
			}
		case <-s.ctx.Done():
			return event{err: s.ctx.Err()}, "deadline", false
		}
		timer.Reset(s.patience())
	}
}

// patience is how long to wait before the engines are asked.
func (s *stream) patience() time.Duration {
	if s.at.asked > 0 || s.events > 0 {
		return gapWait
	}
	return firstWait
}

// skipped is the cause of an event that the caller has already.
const skipped = "skipped"

// check returns why an event is not the next one, or "".
func (s *stream) check(e event) string {
	if e.err == io.EOF {
		return ""
	}
	if e.err != nil {
		return "broken_stream"
	}
	s.quiet = time.Now()
	s.at.asked = 0
	if !e.numbered {
		return "not_an_event"
	}
	if e.id <= s.last {
		return skipped
	}
	if s.last >= 0 && e.id != s.last+1 {
		return "gap"
	}
	s.last = e.id
	return ""
}

// resume goes on behind the last event at another path.
func (s *stream) resume(why string) (cause string, ok bool) {
	broken := s.at
	s.drop()
	s.tried[broken.first.Address] = true
	s.f.Counter.Resumed(why)
	s.f.Log.Info("forward: resuming", "request", s.req.ID, "cause", why, "replica", broken.first.ID, "last_event", s.last, "runs", s.runs)
	return s.begin()
}

// drop ends the running attempt.
func (s *stream) drop() {
	if s.at != nil {
		s.at.stop()
		s.at = nil
	}
}

func (s *stream) deliver(e event) {
	if e.err != nil {
		s.ended = true
		s.conclude(outcome.Answered, "")
		return
	}
	s.pending = e.bytes
	s.events++
}

// conclude ends the stream once.
func (s *stream) conclude(kind outcome.Kind, cause string) {
	s.finish(kind, cause)
	s.drop()
	s.cancel()
}

// Read returns the bytes of the next event. It fails where the stream breaks
// off for good, so that the answer does not look complete.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.pending) == 0 {
		if s.ended {
			return 0, io.EOF
		}
		began := s.quiet
		e, cause, ok := s.next()
		if !ok && e.err != io.EOF {
			s.ended = true
			s.conclude(outcome.Unknown, cause)
			return 0, e.err
		}
		s.f.Counter.BetweenTokens(s.customer, s.rule.Name, time.Since(began))
		s.deliver(e)
		if s.ended {
			return 0, io.EOF
		}
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// Close ends the stream if it has not ended.
func (s *stream) Close() error {
	if !s.ended {
		s.ended = true
		s.conclude(outcome.Unknown, "caller_left")
	}
	return nil
}
