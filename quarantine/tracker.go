package quarantine

import (
	"log/slog"
	"math/rand/v2"
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
	// it is proven, and a request as a whole that is not, as sound requests may be at a
	// replica that another one crashes.
	provenCrashLimit = 2
	// provenRequestCrashLimit is the one for a request as a whole that is proven. Copies
	// of a sound request may be at several replicas that crash at once.
	provenRequestCrashLimit = 4
	// finalHold is the hold of a request as a whole from its finalCrash-th crash on.
	finalCrash = 5
	finalHold  = 24 * time.Hour
	// trialTimeout is how long a trial counts as running. If it has no result by then,
	// another request may be tried.
	trialTimeout = 5 * time.Second
	// trialRetryAfter is the Retry-After delay while a trial is due or running.
	trialRetryAfter = 500 * time.Millisecond
	// minReturnSpread and maxReturnSpread bound the time over which the callers return
	// that are refused for the same hold. It is as long as the rest of the hold.
	minReturnSpread = time.Second
	maxReturnSpread = 30 * time.Second
	// maxSuspects limits the features with findings that are remembered, and maxCrashes
	// the crashes that are remembered for each.
	maxSuspects = 256
	maxCrashes  = 8
)

// Options are the settings of a Tracker.
type Options struct {
	// UnprovenCrashLimit is the number of crashes from which on a part is held that is
	// not proven, at most two.
	UnprovenCrashLimit int
	// HoldDelay prolongs each hold, by another time at each host. So one of them tries a
	// feature first, and the others know of it before their holds end.
	HoldDelay time.Duration
	// Publish sends a finding to the other hosts. It must not block.
	Publish func(f Finding)
	Log     *slog.Logger
}

// Tracker tracks the features of requests that may crash replicas. It is safe for concurrent
// use.
type Tracker struct {
	opts Options

	mu       sync.Mutex
	suspects map[Feature]*suspect
	// provenParts and provenRequests have the hashes of the features with which answers
	// have succeeded at this host.
	provenParts    provenSet
	provenRequests provenSet
}

// New returns a tracker without findings.
func New(opts Options) *Tracker {
	return &Tracker{opts: opts, suspects: map[Feature]*suspect{}}
}

// Decision tells whether a request may be sent to an engine.
type Decision struct {
	Admitted bool
	// Trial is set if an admitted request may have crashed a replica before. It must be
	// sent to one replica at a time.
	Trial bool
	// RetryAfter is the time after which another attempt makes sense if the request is
	// not admitted.
	RetryAfter time.Duration
}

// ReturnAfter returns when the caller of a refused request should return. Callers return
// at different times, as only one of them is tried when a hold ends.
func (d Decision) ReturnAfter() time.Duration {
	return d.RetryAfter + rand.N(min(max(d.RetryAfter, minReturnSpread), maxReturnSpread))
}

// Admit decides whether a request with the given features may be sent to a replica. It
// must be called before each send.
func (t *Tracker) Admit(requestID string, features []Feature, now time.Time) Decision {
	t.mu.Lock()
	d, tried := t.decide(requestID, features, now)
	var trials []Finding
	if d.Admitted {
		trials = t.startTrials(requestID, tried, now)
	}
	t.mu.Unlock()
	t.publish(trials)
	return d
}

// Check decides like Admit about a request that is not sent yet.
func (t *Tracker) Check(requestID string, features []Feature, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, _ := t.decide(requestID, features, now)
	return d
}

// decide returns the decision about a request. If it is admitted, tried has the
// suspected features that it tries.
func (t *Tracker) decide(requestID string, features []Feature, now time.Time) (d Decision, tried []Feature) {
	for _, feature := range features {
		s, held := t.heldSuspect(feature, now)
		if !held {
			// Copies of a request that may have crashed a replica are not refused, as it
			// is mostly sound.
			d.Trial = d.Trial || s != nil && s.kind == FeatureRequest && len(s.crashed) > 0
			continue
		}
		if now.Before(s.heldUntil) && !t.lacksSuspect(s, features, now) {
			return Decision{RetryAfter: s.heldUntil.Sub(now)}, nil
		}
		if !s.mayTry(requestID, now) {
			return Decision{RetryAfter: trialRetryAfter}, nil
		}
		tried = append(tried, feature)
	}
	return Decision{Admitted: true, Trial: d.Trial || len(tried) > 0}, tried
}

// startTrials records that a request tries features, and returns this as findings.
func (t *Tracker) startTrials(requestID string, features []Feature, now time.Time) []Finding {
	var trials []Finding
	for _, feature := range features {
		f := Finding{Kind: KindTrial, Feature: feature, Generation: t.suspects[feature].generation, Subject: requestID}
		if t.addTrial(f, now) {
			trials = append(trials, f)
		}
	}
	return trials
}

// heldSuspect returns the record of a feature, or nil if there is none, and whether it has
// crashed too many replicas.
func (t *Tracker) heldSuspect(feature Feature, now time.Time) (s *suspect, held bool) {
	s, ok := t.suspects[feature]
	if !ok {
		return nil, false
	}
	proven := t.isProven(feature, now)
	limit := provenCrashLimit
	switch {
	case feature.Kind == FeaturePart && !proven:
		limit = t.opts.UnprovenCrashLimit
	case feature.Kind == FeatureRequest && proven:
		limit = provenRequestCrashLimit
	}
	return s, t.crashCount(s, proven) >= limit
}

// isProven reports whether the feature has a good record.
func (t *Tracker) isProven(feature Feature, now time.Time) bool {
	return t.provenSet(feature).contains(feature.Hash, now)
}

func (t *Tracker) provenSet(feature Feature) *provenSet {
	if feature.Kind == FeaturePart {
		return &t.provenParts
	}
	return &t.provenRequests
}

// crashCount returns the number of crashes that may be due to a feature. A crash is not if
// another feature, which may be its cause, has more crashes, or as many and is a whole
// request, while the first one is a proven part.
func (t *Tracker) crashCount(s *suspect, proven bool) int {
	n := len(s.crashed)
	for replica := range s.crashed {
		for _, other := range t.suspects {
			more := len(other.crashed) > len(s.crashed) || proven && s.kind == FeaturePart && other.kind == FeatureRequest && len(other.crashed) == len(s.crashed)
			if more && other.crashed[replica] {
				n--
				break
			}
		}
	}
	return n
}

// lacksSuspect reports whether another feature that may have caused the crashes of s is
// missing in a request. If the request's answer succeeds, that feature is the cause.
func (t *Tracker) lacksSuspect(s *suspect, features []Feature, now time.Time) bool {
	return slices.ContainsFunc(s.others, func(other Feature) bool {
		_, held := t.heldSuspect(other, now)
		return held && !slices.Contains(features, other)
	})
}

// RecordCrash records that a replica crashed as it began to run a request with the given
// features. If some of its parts are proven and others are not, only the others are
// suspected, and the request as a whole.
func (t *Tracker) RecordCrash(features []Feature, replica string, now time.Time) {
	t.mu.Lock()
	unproven := func(feature Feature, _ int) bool {
		return feature.Kind == FeatureRequest || !t.isProven(feature, now)
	}
	accused := lo.Filter(features, unproven)
	if !lo.ContainsBy(accused, func(feature Feature) bool { return feature.Kind == FeaturePart }) {
		accused = features
	}
	var added []Finding
	for _, feature := range accused {
		f := Finding{Kind: KindCrash, Feature: feature, Generation: t.generation(feature), Subject: replica, Others: lo.Without(accused, feature)}
		hold, isNew := t.addCrash(f, now)
		if f.Hold = hold; isNew {
			added = append(added, f)
		}
	}
	t.mu.Unlock()
	t.publish(added)
}

// RecordSuccess records that a replica began to run a request with the given features
// at a time and did not crash. It clears the features that were suspected before.
func (t *Tracker) RecordSuccess(features []Feature, began, now time.Time) {
	t.mu.Lock()
	var cleared []Finding
	for _, feature := range features {
		t.provenSet(feature).add(feature.Hash, now)
		s, ok := t.suspects[feature]
		if ok && len(s.crashed) > 0 && began.After(s.changedAt) {
			f := Finding{Kind: KindCleared, Feature: feature, Generation: s.generation, Lasted: now.Sub(s.suspectedAt)}
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

// Held returns the number of features that are held.
func (t *Tracker) Held(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.CountBy(lo.Keys(t.suspects), func(feature Feature) bool {
		_, held := t.heldSuspect(feature, now)
		return held
	})
}

func (t *Tracker) publish(findings []Finding) {
	for _, f := range findings {
		t.opts.Publish(f)
	}
}
