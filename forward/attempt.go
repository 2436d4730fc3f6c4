package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bulrushshed/outcome"
	"bulrushshed/pipeline"
	"bulrushshed/quarantine"
	"bulrushshed/replica"
	"bulrushshed/route"
	"bulrushshed/usage"
)

// attempt is one execution of a stream on one path. Its own goroutine sends the
// request and reads the answer. The goroutine ends with the attempt's context and
// then closes updates.
type attempt struct {
	// first is the engine at which path starts. It receives the request.
	first replica.Replica
	path  route.Route
	// startedAt is when the attempt began.
	startedAt time.Time
	progress  *pipeline.StreamProgress
	// updates receives the head of the answer, followed by its events.
	updates chan update
	// window bounds the bytes of the events in updates and of the one that the caller takes.
	window eventWindow
	cancel context.CancelFunc
	// takenBytes is the size of the events taken from updates whose bytes are still held.
	takenBytes int
	// release ends the reservation of the path in the planner.
	release func()
	// headReceived is set once the first update has been received, even if that is
	// an error, and answered once the head of a successful answer has been. events
	// counts the events received since the start or the last reroute.
	headReceived bool
	answered     bool
	events       int
	// err is the error with which the answer broke off, or nil.
	err error
	// observed records whether the request crashes the first engine.
	observed *quarantine.Attempt
	// gaps has the pace of the events, by which the stream notices a stall.
	gaps recentGaps
	// stallChecks counts the stall checks since the last event.
	stallChecks int
	// reroutes counts the reroutes of the attempt. noCapacity is set if an engine had
	// no capacity for the last reroute.
	reroutes   int
	noCapacity bool
	// noCapacityUntil holds, by address, until when engines that may have had no capacity for a
	// reroute are avoided by the next one.
	noCapacityUntil map[string]time.Time
	// revision is that of the view of the replicas in which the path was last
	// checked for draining engines. rerouteAt is when the attempt is rerouted off such
	// engines; zero if there are none.
	revision  int64
	rerouteAt time.Time
}

// update is one step of an attempt: the head of its answer, or an event. The first
// update has the head, or the error with which the send failed in event.err.
type update struct {
	answer *UpstreamResponse
	event  event
}

// launch starts an attempt on a path.
func (s *stream) launch(st start) {
	ctx, cancel := context.WithCancel(s.ctx)
	a := &attempt{
		first: st.first, path: st.path, startedAt: time.Now(), progress: s.f.Progress.Track(st.path, time.Now()), observed: s.f.Quarantine.Observe(s.features),
		updates: make(chan update, 4), window: eventWindow{request: s.req}, cancel: cancel, release: st.release, noCapacityUntil: map[string]time.Time{},
	}
	s.attempt = a
	send := Send{
		Request: s.req, Replica: st.first, Path: st.path, TimeLeft: time.Until(s.deadline), Customer: s.customer, Priority: s.priority,
		LastEvent: s.lastEvent(),
	}
	go a.run(ctx, s.f.Upstream, send)
}

func (a *attempt) run(ctx context.Context, up Upstream, send Send) {
	defer close(a.updates)
	answer, err := up.Send(ctx, send)
	failed := err == nil && !answer.NotRun && (answer.Status != http.StatusOK || !answer.Signed)
	if failed {
		err = bufferBody(ctx, answer, send.Request)
	}
	u := update{answer: answer}
	u.event.err = err
	if answer != nil {
		defer func() { _ = answer.Body.Close() }()
	}
	select {
	case a.updates <- u:
	case <-ctx.Done():
		// The channel must not receive events before the head.
		return
	}
	if err != nil || failed || answer.NotRun {
		return
	}
	readEvents(ctx, answer.Body, &a.window, a.updates)
}

// releaseTaken lets the reader go on once the caller has taken the events.
func (a *attempt) releaseTaken() {
	a.window.release(a.takenBytes)
	a.takenBytes = 0
}

// stop ends the attempt and releases its resources.
func (a *attempt) stop() {
	a.cancel()
	a.progress.Untrack()
	a.release()
}

// handleHead processes the head of the answer. It returns why the attempt failed, or
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
		a.err = u.event.err
		s.f.Planner.RecordAnswer(a.first.Address, true, time.Now())
		s.markMayHaveRun(a.first)
		return causeBrokenAnswer
	}
	if u.answer.NotRun {
		s.refusals++
		s.suspectRefusing(u.answer, a.first)
		return causeRefused
	}
	s.markMayHaveRun(a.first)
	switch {
	case outcome.PromisesNotRun(u.answer.Status):
		return causeUnstatedRefusal
	case u.answer.Status != http.StatusOK || !u.answer.Signed:
		s.failure = u.answer
		return causeFailedByReplica
	}
	a.answered = true
	now := time.Now()
	s.f.Planner.RecordAnswer(a.first.Address, false, now)
	s.f.find(usage.NewEngineID(a.first.Address, a.first.Incarnation()), usage.Back, time.Time{}, now)
	if s.head == nil {
		s.head = u.answer
	}
	return ""
}

// markMayHaveRun records that a replica has, or may have, run the request.
func (s *stream) markMayHaveRun(r replica.Replica) {
	s.mayHaveRun = true
	s.ran[r.Address] = true
}

// suspectRefusing excludes the engine that refused the stream from new paths for
// refusedExclusion; it may have capacity again after that. The first engine of the path,
// which passed the refusal on, is not asked again by this stream for as long.
func (s *stream) suspectRefusing(a *UpstreamResponse, first replica.Replica) {
	address := a.FailedEngine
	if address == "" {
		address = first.Address
	}
	now := time.Now()
	until := now.Add(refusedExclusion)
	s.refusedUntil[first.Address] = until
	s.f.Planner.SuspectBusy(address, until)
	if a.Status == http.StatusServiceUnavailable {
		s.f.findFull(address, s.attempt.path, until, now)
	}
}

// suspectFailed excludes an engine that could not be reached from new paths for
// failedExclusion, and from those of this stream for good.
func (s *stream) suspectFailed(address, cause string) {
	s.tried[address] = true
	s.f.Planner.Suspect(address, time.Now().Add(failedExclusion))
	s.f.Log.Warn("forward: engine unreachable, excluded from new paths", "request", s.req.ID, "address", address, "cause", cause, "last_event", s.lastID)
}
