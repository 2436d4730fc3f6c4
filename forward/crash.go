package forward

import (
	"time"
)

// beginning is the time after the first event of an attempt within which a crash of its
// engine is attributed to the prompt.
const beginning = 250 * time.Millisecond

// whyQuarantined returns causeQuarantined if a part of the prompt is held, or "".
func (s *stream) whyQuarantined() string {
	d := s.f.Quarantine.Admit(s.req.ID, s.req.SharedParts, time.Now())
	if d.Admitted {
		return ""
	}
	s.quarantinedFor = d.RetryAfter
	return causeQuarantined
}

// observeBeginning records an event of the attempt. Once the engine has outlived the
// beginning of the answer, the prompt did not crash it.
func (s *stream) observeBeginning(now time.Time) {
	a := s.attempt
	switch {
	case a.beganAt.IsZero():
		a.beganAt = now
	case !a.proven && now.Sub(a.beganAt) >= beginning:
		s.recordSuccess()
	}
}

// recordSuccess records once that the prompt did not crash the engine of the attempt.
func (s *stream) recordSuccess() {
	a := s.attempt
	if a.proven || a.beganAt.IsZero() {
		return
	}
	a.proven = true
	s.f.Quarantine.RecordSuccess(s.req.SharedParts, a.beganAt, time.Now())
}

// observeCrash records a crash if the attempt broke off at its beginning, and its first
// engine does not answer a check.
func (s *stream) observeCrash(cause string) {
	a := s.attempt
	if len(s.req.SharedParts) == 0 || a.proven || cause == causeRefused || cause == causeNotSent {
		return
	}
	if !s.f.checker.confirmDown(s.f, a.first, s.req.ID) {
		return
	}
	s.f.Quarantine.RecordCrash(s.req.SharedParts, a.first.Incarnation(), time.Now())
}
