package forward

import "time"

// maxFindingsWait bounds the wait for the findings of other hosts. A stream can still
// begin within its target latency after it.
const maxFindingsWait = 300 * time.Millisecond

// awaitFindings waits until this host, which may have just started, knows which parts
// crash engines.
func (s *stream) awaitFindings() {
	if len(s.req.SharedParts) == 0 {
		return
	}
	select {
	case <-s.f.FindingsKnown:
		return
	default:
	}
	timer := time.NewTimer(maxFindingsWait)
	defer timer.Stop()
	select {
	case <-s.f.FindingsKnown:
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

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
