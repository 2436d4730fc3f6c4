package quarantine

import "time"

// beginning is the time after the first event of an answer within which a crash of its
// engine is attributed to the request.
const beginning = 250 * time.Millisecond

// Attempt observes one attempt to answer a request, by one engine. It is used by one
// goroutine at a time.
type Attempt struct {
	tracker  *Tracker
	features []Feature
	// beganAt is when the first event was received, or zero.
	beganAt time.Time
	// proven is set once the engine has outlived the beginning of the answer.
	proven bool
}

// Observe returns an Attempt for a request with the given features.
func (t *Tracker) Observe(features []Feature) *Attempt {
	return &Attempt{tracker: t, features: features}
}

// RecordEvent records an event of the answer.
func (a *Attempt) RecordEvent(now time.Time) {
	if a.beganAt.IsZero() {
		a.beganAt = now
	}
	if now.Sub(a.beganAt) >= beginning {
		a.RecordEnd(now)
	}
}

// RecordEnd records that the answer is complete.
func (a *Attempt) RecordEnd(now time.Time) {
	if a.proven || a.beganAt.IsZero() {
		return
	}
	a.proven = true
	a.tracker.RecordSuccess(a.features, a.beganAt, now)
}

// AtBeginning reports whether a crash of the engine may be due to the request.
func (a *Attempt) AtBeginning() bool { return !a.proven && len(a.features) > 0 }

// RecordCrash records that the engine crashed at the beginning of the answer. engine
// identifies its incarnation.
func (a *Attempt) RecordCrash(engine string, now time.Time) {
	a.tracker.RecordCrash(a.features, engine, now)
}
