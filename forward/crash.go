package forward

import "time"

// whyQuarantined returns causeQuarantined if a part of the prompt is held, or "".
func (s *stream) whyQuarantined() string {
	d := s.f.Quarantine.Admit(s.req.ID, s.req.SharedParts, time.Now())
	if d.Admitted {
		return ""
	}
	s.quarantinedFor = d.RetryAfter
	return causeQuarantined
}

// observeCrash records a crash if the attempt broke off at its beginning, and its first
// engine does not answer a check.
func (s *stream) observeCrash(cause string) {
	a := s.attempt
	if !a.observed.AtBeginning() || cause == causeRefused || cause == causeNotSent {
		return
	}
	if s.f.checker.confirmDown(s.f, a.first, s.req.ID) {
		a.observed.RecordCrash(a.first.Incarnation(), time.Now())
	}
}
