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
	first replica.Replica
	path  route.Route
	beat  *pipeline.Beat
	// news carries the head of the answer, and then its events.
	news    chan news
	cancel  context.CancelFunc
	release func()
	// settled is set when it is known whether the engine took the request,
	// answered when the head of a good answer has come, and events counts what
	// came behind it.
	settled  bool
	answered bool
	events   int
	// looks is how often the engines were looked at since the last event.
	looks int
	// moves is how often the attempt was moved, and crowded is set if an
	// engine had no room for the last move.
	moves   int
	crowded bool
	// revision is that of the view in which the path was last looked at, and
	// leaveAt when the attempt leaves engines that drain; zero if there are
	// none.
	revision int64
	leaveAt  time.Time
}

// news is one step of an attempt: the head of its answer, or an event.
type news struct {
	answer *UpstreamResponse
	event  event
}

// start begins an attempt.
func (s *stream) start(first replica.Replica, path route.Route, release func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	a := &attempt{
		first: first, path: path, beat: s.f.Pulse.Join(path, time.Now()),
		news: make(chan news, 4), cancel: cancel, release: release,
	}
	s.at = a
	send := Send{
		Request: s.req, Replica: first, Path: path, Left: time.Until(s.end), Customer: s.customer, Priority: s.priority,
		LastEvent: s.lastEvent(),
	}
	go a.run(ctx, s.f.Upstream, send)
}

func (a *attempt) run(ctx context.Context, up Upstream, send Send) {
	defer close(a.news)
	answer, err := up.Send(ctx, send)
	failed := err == nil && !answer.NotRun && (answer.Status != http.StatusOK || !answer.Sealed)
	if failed {
		err = hold(answer)
	}
	n := news{answer: answer}
	n.event.err = err
	if answer != nil {
		defer func() { _ = answer.Body.Close() }()
	}
	select {
	case a.news <- n:
	case <-ctx.Done():
		// Events must not come in place of the head.
		return
	}
	if err != nil || failed || answer.NotRun {
		return
	}
	readEvents(ctx, answer.Body, a.news)
}

// stop ends the attempt.
func (a *attempt) stop() {
	a.cancel()
	a.beat.Leave()
	a.release()
}

// takeHead takes the head of the answer, and returns why the attempt failed, or
// "".
func (s *stream) takeHead(n news) (cause string) {
	a := s.at
	a.settled = true
	if errors.Is(n.event.err, ErrNotSent) {
		s.sends--
		s.unreachable++
		s.suspect(a.first.Address, notSent)
		return notSent
	}
	if n.event.err != nil {
		s.mayRun(a.first)
		return "broken_answer"
	}
	if n.answer.NotRun {
		s.shun(n.answer, a.first)
		return causeRefused
	}
	s.mayRun(a.first)
	if n.answer.Status != http.StatusOK || !n.answer.Sealed {
		s.failed = n.answer
		return "failed_by_replica"
	}
	a.answered = true
	if s.head == nil {
		s.head = n.answer
	}
	return ""
}

// mayRun notes that a replica has, or may have, run the request.
func (s *stream) mayRun(r replica.Replica) {
	s.mayHaveRun = true
	s.ran[r.Address] = true
}

// shun leaves the engine that refused the stream out for a moment; it may have
// room again behind that.
func (s *stream) shun(a *UpstreamResponse, first replica.Replica) {
	at := a.Fault
	if at == "" {
		at = first.Address
	}
	s.f.Planner.Suspect(at, time.Now().Add(shunTime))
}

// suspect leaves an engine out for a while, and tells why in the log.
func (s *stream) suspect(address, why string) {
	s.tried[address] = true
	s.f.Planner.Suspect(address, time.Now().Add(suspectTime))
	s.f.Log.Warn("forward: suspecting", "request", s.req.ID, "address", address, "cause", why, "last_event", s.last)
}
