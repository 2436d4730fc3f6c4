package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bulrushshed/pipeline"
	"bulrushshed/replica"
	"bulrushshed/route"
)

// attempt is one run of a stream at one path. A goroutine of its own sends the
// request and reads the answer; it ends with the attempt's context, and closes
// news then.
type attempt struct {
	first    replica.Replica
	path     route.Route
	progress *pipeline.StreamProgress
	// updates carries the head of the answer, and then its events.
	updates chan update
	cancel  context.CancelFunc
	release func()
	// headReceived is set when it is known whether the engine took the request,
	// answered when the head of a good answer has come, and events counts what
	// came behind it.
	headReceived bool
	answered     bool
	events       int
	// stallChecks is how often the engines were looked at since the last event.
	stallChecks int
	// reroutes is how often the attempt was moved, and crowded is set if an
	// engine had no room for the last move.
	reroutes int
	noRoom   bool
	// revision is that of the view in which the path was last looked at, and
	// leaveAt when the attempt leaves engines that drain; zero if there are
	// none.
	revision  int64
	rerouteAt time.Time
}

// update is one step of an attempt: the head of its answer, or an event.
type update struct {
	answer *UpstreamResponse
	event  event
}

// launch begins an attempt.
func (s *stream) launch(first replica.Replica, path route.Route, release func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	a := &attempt{
		first: first, path: path, progress: s.f.Pulse.Track(path, time.Now()),
		updates: make(chan update, 4), cancel: cancel, release: release,
	}
	s.attempt = a
	send := Send{
		Request: s.req, Replica: first, Path: path, Left: time.Until(s.deadline), Customer: s.customer, Priority: s.priority,
		LastEvent: s.lastEvent(),
	}
	go a.run(ctx, s.f.Upstream, send)
}

func (a *attempt) run(ctx context.Context, up Upstream, send Send) {
	defer close(a.updates)
	answer, err := up.Send(ctx, send)
	failed := err == nil && !answer.NotRun && (answer.Status != http.StatusOK || !answer.Sealed)
	if failed {
		err = bufferBody(answer)
	}
	u := update{answer: answer}
	u.event.err = err
	if answer != nil {
		defer func() { _ = answer.Body.Close() }()
	}
	select {
	case a.updates <- u:
	case <-ctx.Done():
		// Events must not come in place of the head.
		return
	}
	if err != nil || failed || answer.NotRun {
		return
	}
	readEvents(ctx, answer.Body, a.updates)
}

// stop ends the attempt.
func (a *attempt) stop() {
	a.cancel()
	a.progress.Untrack()
	a.release()
}

// handleHead takes the head of the answer, and returns why the attempt failed, or
// "".
func (s *stream) handleHead(u update) (cause string) {
	a := s.attempt
	a.headReceived = true
	if errors.Is(u.event.err, ErrNotSent) {
		s.sends--
		s.unreachable++
		s.suspectFailed(a.first.Address, causeNotSent)
		return causeNotSent
	}
	if u.event.err != nil {
		s.markMayHaveRun(a.first)
		return "broken_answer"
	}
	if u.answer.NotRun {
		s.suspectRefusing(u.answer, a.first)
		return causeRefused
	}
	s.markMayHaveRun(a.first)
	if u.answer.Status != http.StatusOK || !u.answer.Sealed {
		s.failure = u.answer
		return "failed_by_replica"
	}
	a.answered = true
	if s.head == nil {
		s.head = u.answer
	}
	return ""
}

// markMayHaveRun notes that a replica has, or may have, run the request.
func (s *stream) markMayHaveRun(r replica.Replica) {
	s.mayHaveRun = true
	s.ran[r.Address] = true
}

// suspectRefusing leaves the engine that refused the stream out for a moment; it may have
// room again behind that.
func (s *stream) suspectRefusing(a *UpstreamResponse, first replica.Replica) {
	address := a.Fault
	if address == "" {
		address = first.Address
	}
	s.f.Planner.Suspect(address, time.Now().Add(refusedExclusion))
}

// suspectFailed leaves an engine out for a while, and tells why in the log.
func (s *stream) suspectFailed(address, why string) {
	s.tried[address] = true
	s.f.Planner.Suspect(address, time.Now().Add(failedExclusion))
	s.f.Log.Warn("forward: suspecting", "request", s.req.ID, "address", address, "cause", why, "last_event", s.lastID)
}
