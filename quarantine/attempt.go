package quarantine

import "time"

// beginning is the time after the first event of an answer within which a crash of its
// engine is attributed to the prompt.
const beginning = 250 * time.Millisecond

// Attempt observes one attempt to answer a request, by one engine. It is used by one
// goroutine at a time.
type Attempt struct {
	tracker *Tracker
	parts   []uint64
	// beganAt is when the first event was received, or zero.
	beganAt time.Time
	// proven is set once the engine has outlived the beginning of the answer.
	proven bool
}

// Observe returns an Attempt for a request with the given parts.
func (t *Tracker) Observe(parts []uint64) *Attempt { return &Attempt{tracker: t, parts: parts} }

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
	a.tracker.RecordSuccess(a.parts, a.beganAt, now)
}

// AtBeginning reports whether a crash of the engine may be due to the prompt.
func (a *Attempt) AtBeginning() bool { return !a.proven && len(a.parts) > 0 }

// RecordCrash records that the engine crashed at the beginning of the answer. engine
// identifies its incarnation.
func (a *Attempt) RecordCrash(engine string, now time.Time) {
	a.tracker.RecordCrash(a.parts, engine, now)
}
