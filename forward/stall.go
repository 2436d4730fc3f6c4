package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"bulrushshed/replica"
	"bulrushshed/route"
)

const (
	// firstLook is how long the first event of an attempt may take before its
	// engines are looked at, and gapLook how long each further one may.
	firstLook = 260 * time.Millisecond
	gapLook   = 90 * time.Millisecond
	// lookAgain is the time between two looks in one silence.
	lookAgain = 60 * time.Millisecond
	// fewSuspects is how many engines may be suspected at once.
	fewSuspects = 2
	// surePatience is the silence behind which more engines than that may be,
	// and the first engine is asked.
	surePatience = 220 * time.Millisecond
	// silence is how long an attempt may be silent before it is given up
	// though no engine is known to hold it up.
	silence = 900 * time.Millisecond
	// askTimeout bounds a question or an order to an engine.
	askTimeout = 250 * time.Millisecond
	// askPause is the least time between two questions to one engine.
	askPause = 700 * time.Millisecond
	// maxRepaths bounds how often one attempt is moved.
	maxRepaths = 3
)

// patience is how long to wait before the engines are looked at.
func (s *stream) patience() time.Duration {
	switch {
	case s.at.looks > 0:
		return lookAgain
	case s.at.events > 0:
		return gapLook
	}
	return firstLook
}

// look searches for the engine that holds the stream up, and moves the stream
// off it. It returns why the attempt is to be given up, or "" to wait on.
func (s *stream) look() string {
	s.at.looks++
	quiet := s.at.beat.Since(time.Now())
	if quiet > silence {
		return "silent"
	}
	suspects := s.at.beat.Suspects()
	if len(suspects) == 0 {
		// Other streams get through all engines, so one of them may be slow.
		s.f.asker.ask(s.f, s.at.path, s.req.ID)
		return s.leaveSlow()
	}
	if len(suspects) > fewSuspects && quiet < surePatience {
		return ""
	}
	if len(suspects) > fewSuspects {
		suspects = s.confirm(suspects)
	}
	if len(suspects) == 0 {
		return ""
	}
	for _, address := range suspects {
		s.suspect(address, "stalled")
	}
	return s.move("stalled", suspects)
}

// leaveSlow moves the stream off engines that say that they are slow.
func (s *stream) leaveSlow() string {
	var slow []string
	for _, h := range s.at.path.Hops[1:] {
		if s.f.Planner.Slow(h.Address) {
			slow = append(slow, h.Address)
			s.tried[h.Address] = true
		}
	}
	if len(slow) == 0 {
		return ""
	}
	// Slow engines are left if that is easy; otherwise they are borne.
	if s.at.repaths < maxRepaths {
		_ = s.move("slow", slow)
	}
	return ""
}

// confirm asks the first engine which of the suspects hold the stream up.
func (s *stream) confirm(suspects []string) []string {
	ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
	defer cancel()
	report, err := s.f.Upstream.Report(ctx, s.at.first)
	if err != nil {
		if s.ctx.Err() != nil {
			return nil
		}
		return []string{s.at.first.Address}
	}
	return slices.DeleteFunc(suspects, func(a string) bool { return !slices.Contains(report.Stalled[s.req.ID], a) })
}

// move takes the running stream to a path without some engines: the others keep
// what they hold of it. It returns why the attempt is to be given up, or "".
func (s *stream) move(why string, without []string) string {
	first := s.at.first.Address
	if !s.at.answered || s.at.repaths >= maxRepaths || slices.Contains(without, first) {
		return why
	}
	v := s.f.Replicas.View()
	path, release, err := s.f.Planner.Reroute(v, s.ask(), s.at.path, time.Now())
	if err != nil {
		return why
	}
	ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
	defer cancel()
	err = s.f.Upstream.Repath(ctx, s.at.first, s.req.ID, path)
	s.f.Log.Info("forward: moved", "request", s.req.ID, "cause", why, "without", without, "error", errText(err),
		"last_event", s.last, "hops", len(path.Hops))
	if err != nil {
		release()
		return why
	}
	s.at.release()
	s.at.release = release
	s.at.path = path
	s.at.repaths++
	s.at.beat.Leave()
	s.at.beat = s.f.Pulse.Join(path, time.Now())
	s.at.events = 0
	s.at.looks = 0
	s.f.Counter.Resumed("moved_" + why)
	return ""
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// asker asks engines for reports, each seldom. It is safe for concurrent use.
type asker struct {
	mu    sync.Mutex
	asked map[string]time.Time
}

func newAsker() *asker { return &asker{asked: map[string]time.Time{}} }

func (a *asker) mayAsk(address string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.asked[address]) < askPause {
		return false
	}
	a.asked[address] = now
	return true
}

// ask asks the engines of a path that were not asked lately, all at once, and
// hands their reports to the planner.
func (a *asker) ask(f *Forwarder, path route.Route, requestID string) {
	now := time.Now()
	v := f.Replicas.View()
	for _, h := range path.Hops {
		r, ok := v.At(h.Address)
		if !ok || !a.mayAsk(h.Address, now) {
			continue
		}
		go a.one(f, r, requestID)
	}
}

// one asks one engine; it ends within askTimeout.
func (a *asker) one(f *Forwarder, r replica.Replica, requestID string) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	report, err := f.Upstream.Report(ctx, r)
	if err != nil {
		f.Log.Warn("forward: engine not asked", "request", requestID, "address", r.Address, "cause", err.Error())
		return
	}
	full := report.CellsUsed / max(report.CellsTotal, 1)
	if report.Slowness > 1 {
		f.Log.Info("forward: engine slow", "request", requestID, "address", r.Address, "slowness", report.Slowness, "full", full)
	}
	f.Planner.Reported(r.Address, report.Slowness, full, time.Now())
}
