package quarantine

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
)

const (
	// firstHold is the hold after a single crash of a part that is not proven.
	firstHold = 5 * time.Second
	// repeatedHold is the hold after the second crash. It grows by holdGrowth with each
	// further one, up to maxHold.
	repeatedHold = 30 * time.Second
	holdGrowth   = 4
	maxHold      = 10 * time.Minute
	// provenCrashLimit is the number of crashes from which on a part is held although
	// it is proven.
	provenCrashLimit = 2
	// trialTimeout is how long a trial counts as running. If it has no result by then,
	// another request may be tried.
	trialTimeout = 5 * time.Second
	// trialRetryAfter is the Retry-After delay while a trial is due or running.
	trialRetryAfter = 500 * time.Millisecond
	// maxSuspects limits the parts with findings that are remembered, and maxCrashes
	// the crashes that are remembered for each.
	maxSuspects = 256
	maxCrashes  = 8
)

// Options are the settings of a Tracker.
type Options struct {
	// UnprovenCrashLimit is the number of crashes from which on a part is held that is
	// not proven, at most two.
	UnprovenCrashLimit int
	// Publish sends a finding to the other hosts. It must not block.
	Publish func(f Finding)
	Log     *slog.Logger
}

// Tracker tracks the parts of prompts that may crash engines. It is safe for concurrent
// use.
type Tracker struct {
	opts Options

	mu       sync.Mutex
	suspects map[uint64]*suspect
	proven   provenParts
}

// New returns a tracker without findings.
func New(opts Options) *Tracker {
	return &Tracker{opts: opts, suspects: map[uint64]*suspect{}}
}

// Decision tells whether a request may be sent to an engine.
type Decision struct {
	Admitted bool
	// RetryAfter is the time after which another attempt makes sense if the request is
	// not admitted.
	RetryAfter time.Duration
}

// Admit decides whether a request with the given parts may be sent to an engine. It
// must be called before each send.
func (t *Tracker) Admit(requestID string, parts []uint64, now time.Time) Decision {
	t.mu.Lock()
	d, tried := t.decide(requestID, parts, now)
	var trials []Finding
	if d.Admitted {
		trials = t.startTrials(requestID, tried, now)
	}
	t.mu.Unlock()
	t.publish(trials)
	return d
}

// decide returns the decision about a request. If it is admitted, tried has the held
// parts that it tries.
func (t *Tracker) decide(requestID string, parts []uint64, now time.Time) (d Decision, tried []uint64) {
	for _, part := range parts {
		s, held := t.heldSuspect(part, now)
		if !held {
			continue
		}
		if now.Before(s.heldUntil) && !t.lacksSuspect(s, parts, now) {
			return Decision{RetryAfter: s.heldUntil.Sub(now)}, nil
		}
		if !s.mayTry(requestID, now) {
			return Decision{RetryAfter: trialRetryAfter}, nil
		}
		tried = append(tried, part)
	}
	return Decision{Admitted: true}, tried
}

// startTrials records that a request tries held parts, and returns this as findings.
func (t *Tracker) startTrials(requestID string, parts []uint64, now time.Time) []Finding {
	var trials []Finding
	for _, part := range parts {
		f := Finding{Kind: KindTrial, Part: part, Generation: t.suspects[part].generation, Subject: requestID}
		if t.addTrial(f, now) {
			trials = append(trials, f)
		}
	}
	return trials
}

// heldSuspect returns the record of a part if it has crashed too many engines.
func (t *Tracker) heldSuspect(part uint64, now time.Time) (s *suspect, held bool) {
	s, ok := t.suspects[part]
	if !ok {
		return nil, false
	}
	limit := t.opts.UnprovenCrashLimit
	if t.proven.contains(part, now) {
		limit = provenCrashLimit
	}
	return s, t.crashCount(s) >= limit
}

// crashCount returns the number of crashes that may be due to a part. A crash is not if
// another part, which may be its cause, has more crashes.
func (t *Tracker) crashCount(s *suspect) int {
	n := len(s.crashed)
	for engine := range s.crashed {
		for _, other := range t.suspects {
			if len(other.crashed) > len(s.crashed) && other.crashed[engine] {
				n--
				break
			}
		}
	}
	return n
}

// lacksSuspect reports whether another part that may have caused the crashes of s is
// missing in a request. If the request's answer succeeds, that part is the cause.
func (t *Tracker) lacksSuspect(s *suspect, parts []uint64, now time.Time) bool {
	return slices.ContainsFunc(s.others, func(other uint64) bool {
		_, held := t.heldSuspect(other, now)
		return held && !slices.Contains(parts, other)
	})
}

// RecordCrash records that an engine crashed as it began to answer a request with the
// given parts. If some of them are proven and others are not, only the others are
// suspected.
func (t *Tracker) RecordCrash(parts []uint64, engine string, now time.Time) {
	t.mu.Lock()
	accused := lo.Filter(parts, func(part uint64, _ int) bool { return !t.proven.contains(part, now) })
	if len(accused) == 0 {
		accused = parts
	}
	var added []Finding
	for _, part := range accused {
		f := Finding{Kind: KindCrash, Part: part, Generation: t.generation(part), Subject: engine, Others: lo.Without(accused, part)}
		if t.addCrash(f, now) {
			added = append(added, f)
		}
	}
	t.mu.Unlock()
	t.publish(added)
}

// RecordSuccess records that an engine began to answer a request with the given parts
// at a time and did not crash. It clears the parts that were suspected before.
func (t *Tracker) RecordSuccess(parts []uint64, began, now time.Time) {
	t.mu.Lock()
	var cleared []Finding
	for _, part := range parts {
		t.proven.add(part, now)
		s, ok := t.suspects[part]
		if ok && len(s.crashed) > 0 && began.After(s.changedAt) {
			f := Finding{Kind: KindCleared, Part: part, Generation: s.generation, Lasted: now.Sub(s.suspectedAt)}
			t.clear(f, now)
			cleared = append(cleared, f)
		}
	}
	t.mu.Unlock()
	t.publish(cleared)
}

// Merge records a finding of another host.
func (t *Tracker) Merge(f Finding, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch f.Kind {
	case KindCrash:
		t.addCrash(f, now)
	case KindCleared:
		t.clear(f, now)
	case KindTrial:
		t.addTrial(f, now)
	}
}

// Held returns the number of parts that are held.
func (t *Tracker) Held(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.CountBy(lo.Keys(t.suspects), func(part uint64) bool {
		_, held := t.heldSuspect(part, now)
		return held
	})
}

func (t *Tracker) publish(findings []Finding) {
	for _, f := range findings {
		t.opts.Publish(f)
	}
}
