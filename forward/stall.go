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
	// firstLook is how long the first event of an attempt may take before its
	// engines are looked at, and gapLook how long each further one may.
	firstLook = 260 * time.Millisecond
	gapLook   = 110 * time.Millisecond
	// lookAgain is the time between two looks in one silence.
	lookAgain = 40 * time.Millisecond
	// slowPatience is the silence behind which all engines of a path are
	// checked though other streams get through them, and leavePatience the one
	// behind which slow engines are left.
	slowPatience  = 160 * time.Millisecond
	leavePatience = 900 * time.Millisecond
	// silence is how long an attempt may be silent before it is given up
	// though no engine is known to hold it up.
	silence = 1500 * time.Millisecond
	// orderTimeout bounds an order to an engine.
	orderTimeout = 250 * time.Millisecond
	// leaveFrom and leaveTo bound the spread of times at which streams leave an
	// engine that drains.
	leaveFrom = 700 * time.Millisecond
	leaveTo   = 1500 * time.Millisecond
	// movePatience is how long a stream looks for an engine with room that
	// takes over from one that is gone, before the attempt is given up.
	movePatience = time.Second
	// maxMoves bounds how often one attempt is moved.
	maxMoves = 3
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

// look searches for the engine that holds the stream up, and takes the stream
// off it. It returns why the attempt is to be given up, or "" to wait on.
func (s *stream) look() string {
	s.at.looks++
	now := time.Now()
	quiet := s.at.beat.Since(now)
	if quiet > silence {
		return s.leave("silent")
	}
	suspects := s.at.beat.Suspects()
	if len(suspects) == 0 && quiet < slowPatience {
		return ""
	}
	life := silentLife
	if len(suspects) == 0 {
		// Other streams get through all engines, so one of them may be slow.
		suspects, life = s.at.beat.Hops(), talkingLife
	}
	dead := s.f.checker.check(s.f, suspects, life, s.req.ID, now)
	if len(dead) > 0 {
		for _, address := range dead {
			s.tried[address] = true
		}
		return s.move("engine_gone", dead)
	}
	if quiet >= leavePatience {
		s.leaveSlow()
	}
	return ""
}

// leaveSlow moves the stream off engines that say that they are slow, if that
// is easy; otherwise they are borne.
func (s *stream) leaveSlow() {
	var slow []string
	for _, h := range s.at.path.Hops[1:] {
		if s.f.Planner.Slow(h.Address) {
			slow = append(slow, h.Address)
			s.tried[h.Address] = true
		}
	}
	if len(slow) > 0 && s.movable(slow) {
		s.repath("engine_slow", slow)
	}
}

// movable reports whether the attempt can go on without some engines.
func (s *stream) movable(without []string) bool {
	return s.at.answered && s.at.moves < maxMoves && !slices.Contains(without, s.at.first.Address)
}

// move takes the stream off engines that are gone, and returns why the attempt
// is to be given up if that fails.
func (s *stream) move(why string, without []string) string {
	if s.movable(without) && s.repath(why, without) {
		return ""
	}
	if s.at.crowded && s.at.beat.Since(time.Now()) < movePatience {
		// Another engine may have room at the next look, and the others keep
		// what they hold until then.
		return ""
	}
	return s.leave(why)
}

// leave gives the attempt up if another one can take over; if not, it may still
// come back.
func (s *stream) leave(why string) string {
	first := s.at.first.Address
	ran := maps.Clone(s.ran)
	ran[first] = true
	if len(ran) == 1 && s.rule.MaxAttempts == 1 {
		return ""
	}
	ask := s.askBut(ran)
	ask.Avoid[first] = true
	if s.barred() != "" || !s.f.Planner.Has(s.f.Replicas.View(), ask, time.Now()) {
		return ""
	}
	if !s.f.Budget.Repeat(s.service.Name, time.Now()) {
		return ""
	}
	s.paid = true
	return why
}

// leaveDraining takes the stream off engines that drain, or whose entry is gone,
// before they end. The streams of an engine leave one after the other, so that
// those that take over read their tokens in turn; many have ended by then.
func (s *stream) leaveDraining(now time.Time) {
	a := s.at
	v := s.f.Replicas.View()
	if v.Revision != a.revision {
		a.revision = v.Revision
		a.leaveAt = time.Time{}
		if len(s.draining(v)) > 0 {
			a.leaveAt = now.Add(spread(leaveFrom, leaveTo))
		}
	}
	if a.leaveAt.IsZero() || now.Before(a.leaveAt) {
		return
	}
	a.leaveAt = time.Time{}
	if without := s.draining(v); len(without) > 0 && s.movable(without) {
		s.repath("engine_leaving", without)
	}
}

// draining returns the engines of the path, but for the first, that drain or
// are not listed any more.
func (s *stream) draining(v *replica.View) []string {
	var all []string
	for _, h := range s.at.path.Hops[1:] {
		if r, ok := v.ByAddress(h.Address); !ok || r.Draining {
			all = append(all, h.Address)
		}
	}
	return all
}

// repath takes the running stream to a path without some engines: the others
// keep what they hold of it.
func (s *stream) repath(why string, without []string) bool {
	path, release, err := s.f.Planner.Reroute(s.f.Replicas.View(), s.ask(), s.at.path, time.Now())
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	err = s.f.Upstream.Repath(ctx, s.at.first, s.req.ID, path)
	s.f.Log.Info("forward: moved", "request", s.req.ID, "cause", why, "without", without, "error", errText(err),
		"last_event", s.last, "hops", len(path.Hops))
	if err != nil {
		release()
		s.crowd(err)
		return false
	}
	s.at.crowded = false
	s.at.release()
	s.at.release = release
	s.at.path = path
	s.at.moves++
	s.at.beat.Leave()
	s.at.beat = s.f.Pulse.Join(path, time.Now())
	s.at.events = 0
	s.at.looks = 0
	s.f.Counter.Resumed("moved_" + why)
	return true
}

// crowd leaves an engine that has no room for the stream out for a moment.
func (s *stream) crowd(err error) {
	var e *Error
	if !errors.As(err, &e) {
		s.at.crowded = false
		return
	}
	s.at.crowded = true
	if e.Address != "" {
		s.f.Planner.Suspect(e.Address, time.Now().Add(shunTime))
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
