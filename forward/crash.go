package forward

import (
	"context"
	"time"

	"bulrushshed/ingress"
	"bulrushshed/quarantine"
	"bulrushshed/replica"
)

const (
	// maxFindingsWait bounds the wait for the findings of other hosts, and
	// findingsWaitFraction does as a fraction of a rule's target latency.
	maxFindingsWait      = 300 * time.Millisecond
	findingsWaitFraction = 0.6
	// reachableChecks is the number of other replicas of which one must be reached, or
	// else this host itself may be cut off.
	reachableChecks = 3
)

// identify computes the features by which the request may crash replicas.
func (c *call) identify() {
	c.fingerprint = quarantine.Call{
		Customer: c.customer, Method: c.req.Method, Target: c.req.Host + c.req.Target, Prompt: c.req.Prompt, Body: c.req.Body,
	}.Fingerprint()
	c.features = quarantine.Features(c.req.SharedParts, c.fingerprint)
}

// awaitFindings waits until this host, which may have just started, knows what crashes
// replicas.
func (f *Forwarder) awaitFindings(ctx context.Context, rule *ingress.Rule) {
	select {
	case <-f.FindingsKnown:
		return
	default:
	}
	timer := time.NewTimer(min(maxFindingsWait, time.Duration(findingsWaitFraction*float64(rule.Objective))))
	defer timer.Stop()
	select {
	case <-f.FindingsKnown:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// whyQuarantined returns causeQuarantined if a feature of the request is held, or "".
func (c *call) whyQuarantined(d quarantine.Decision) string {
	if d.Admitted {
		return ""
	}
	c.returnAfterHold = d.ReturnAfter()
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

// observeEnd records whether the replica of a plain request outlived it. sentAt is when
// the request was sent.
func (p *plainCall) observeEnd(result sendResult, sentAt time.Time) {
	switch {
	case result.resp != nil || result.cause == causeUnstatedRefusal:
		p.f.Quarantine.RecordSuccess(p.features, sentAt, time.Now())
	case result.err != nil && p.ctx.Err() == nil && p.f.hasCrashed(result.replica):
		p.f.Quarantine.RecordCrash(p.features, result.replica.Incarnation(), time.Now())
	}
}

// hasCrashed reports whether a replica whose answer broke off cannot be reached, while
// others can.
func (f *Forwarder) hasCrashed(r replica.Replica) bool {
	if f.reaches(r) {
		return false
	}
	checks := 0
	for other := range f.Replicas.View().All() {
		if other.Address == r.Address {
			continue
		}
		if f.reaches(other) {
			return true
		}
		if checks++; checks == reachableChecks {
			break
		}
	}
	return false
}

func (f *Forwarder) reaches(r replica.Replica) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	return f.Upstream.Reach(ctx, r) == nil
}
