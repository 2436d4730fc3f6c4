package lease

import (
	"time"

	"bulrushshed/hostlog"
)

// Options are the times of a lease.
type Options struct {
	// Term is how long a holder may act behind an accepted record.
	Term time.Duration
	// Margin is how much longer a challenger waits.
	Margin time.Duration
	// Renew is the time between two renewals.
	Renew time.Duration
}

// Elector is one host's part in the lease: what it read, what it wrote and until
// when it may act. It is not safe for concurrent use.
type Elector struct {
	opts  Options
	self  string
	state State
	seam  hostlog.Sequencer[Record]
	// readAt is when the last accepted record was read here.
	readAt time.Time
	// began holds, for own records that are not read back yet, when their
	// appends began.
	began map[string]time.Time
	// until is when this host must stop acting.
	until time.Time
	// tried is when the last own record was written.
	tried time.Time
}

// NewElector returns the seat of a host that has read nothing.
func NewElector(o Options, self string) *Elector {
	return &Elector{opts: o, self: self, began: map[string]time.Time{}}
}

// Observe takes the record at an offset of the log, read now.
func (s *Elector) Observe(offset int64, r Record, now time.Time) {
	if s.seam.Accept(offset, r) {
		s.apply(offset, r, now)
	}
}

func (s *Elector) apply(offset int64, r Record, now time.Time) {
	began, own := s.began[r.ID]
	delete(s.began, r.ID)
	state, accepted := s.state.Apply(offset, r)
	if !accepted {
		return
	}
	s.state = state
	s.readAt = now
	switch {
	case state.Holder != s.self:
		s.until = time.Time{}
	case own:
		s.until = began.Add(s.opts.Term)
	}
}

// ReadTo returns the last offset that the lease accounts for.
func (s *Elector) ReadTo() int64 { return s.seam.ReadTo() }

// AdvanceTo notes that all records up to an offset were read.
func (s *Elector) AdvanceTo(offset int64) { s.seam.AdvanceTo(offset) }

// MarkGap notes that the log now begins at first. A host that missed records can't
// tell which claims were accepted, so it neither acts nor claims.
func (s *Elector) MarkGap(first int64) {
	s.seam.MarkGap(first)
	if !s.seam.Complete() {
		s.until = time.Time{}
	}
}

// Restore takes the lease as another host read it, up to an offset.
func (s *Elector) Restore(state State, readTo int64, now time.Time) {
	if state.Last > s.state.Last {
		s.state = state
		s.readAt = now
		s.until = time.Time{}
	}
	s.seam.Restore(readTo, func(offset int64, r Record) { s.apply(offset, r, now) })
}

// someone stands for a holder whose name is lost.
const someone = "someone"

// Reset forgets who holds the lease as of an offset. Whoever it is may still
// act for a term.
func (s *Elector) Reset(offset int64, now time.Time) {
	if offset <= s.state.Last {
		return
	}
	s.state = State{Holder: someone, Grant: s.state.Grant, Last: offset}
	s.readAt = now
	s.until = time.Time{}
	s.seam.Reset(offset, func(offset int64, r Record) { s.apply(offset, r, now) })
}

// Holds reports whether this host may act now, and the fencing number.
func (s *Elector) Holds(now time.Time) (fence int64, ok bool) {
	return s.state.Grant, s.state.Holder == s.self && now.Before(s.until)
}

// NextRecord returns the record to append now, if there is one. The caller appends
// it at once; whether that fails makes no difference, since only what is read
// back counts.
func (s *Elector) NextRecord(id string, now time.Time) (Record, bool) {
	if !s.tried.IsZero() && now.Sub(s.tried) < s.opts.Renew {
		return Record{}, false
	}
	var r Record
	switch {
	case !s.seam.Complete():
		return Record{}, false
	case s.state.Holder == s.self:
		r = Record{ID: id, Action: ActionRenew, Holder: s.self, Grant: s.state.Grant}
	case s.state.Holder == "" || s.lapsed(now):
		r = Record{ID: id, Action: ActionClaim, Holder: s.self, After: s.state.Last}
	default:
		return Record{}, false
	}
	s.tried = now
	s.began[id] = now
	s.forget(now)
	return r, true
}

// lapsed reports whether the holder has surely stopped acting.
func (s *Elector) lapsed(now time.Time) bool {
	return now.Sub(s.readAt) > s.opts.Term+s.opts.Margin
}

// forget drops own records that can't give a term any more.
func (s *Elector) forget(now time.Time) {
	for id, at := range s.began {
		if now.Sub(at) > s.opts.Term {
			delete(s.began, id)
		}
	}
}

// Release returns the record by which a holder that stops gives the lease up.
func (s *Elector) Release(id string) (Record, bool) {
	if s.state.Holder != s.self {
		return Record{}, false
	}
	s.until = time.Time{}
	return Record{ID: id, Action: ActionRelease, Holder: s.self, Grant: s.state.Grant}, true
}

// State returns the lease as this host read it.
func (s *Elector) State() State { return s.state }
