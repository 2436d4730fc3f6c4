package quarantine

import (
	"maps"
	"time"

	"github.com/samber/lo"
)

// suspect is what is known about a feature that may have crashed replicas.
type suspect struct {
	kind       FeatureKind
	generation int64
	// crashed has the replicas that crashed under the feature in this generation, and
	// others the features that all of these crashes have in common with it.
	crashed map[string]bool
	others  []Feature
	// suspectedAt is when this host learned of the first crash, and changedAt when of
	// the last finding.
	suspectedAt time.Time
	changedAt   time.Time
	heldUntil   time.Time
	// trial is the ID of the request that was tried last, by any host, at trialAt.
	trial   string
	trialAt time.Time
}

// mayTry reports whether no other request is being tried.
func (s *suspect) mayTry(requestID string, now time.Time) bool {
	return s.trial == "" || s.trial == requestID || now.Sub(s.trialAt) >= trialTimeout
}

// generation returns the generation to which a new crash under a feature belongs.
func (t *Tracker) generation(feature Feature) int64 {
	if s, ok := t.suspects[feature]; ok {
		return s.generation
	}
	return firstGeneration
}

const firstGeneration = 1

// addCrash adds a crash and reports whether it was new, and how long the feature is held
// for it. A crash of a generation that has been cleared is ignored; one of a later
// generation than known replaces those of the earlier ones.
func (t *Tracker) addCrash(f Finding, now time.Time) (hold time.Duration, added bool) {
	s := t.getOrCreate(f.Feature, now)
	if f.Generation < s.generation || f.Generation == s.generation && s.crashed[f.Subject] {
		return 0, false
	}
	if f.Generation > s.generation {
		s.reset(f.Generation)
	}
	if len(s.crashed) == 0 {
		s.others = f.Others
		s.suspectedAt = now
	}
	s.others = lo.Intersect(s.others, f.Others)
	for engine := range s.crashed {
		if len(s.crashed) < maxCrashes {
			break
		}
		delete(s.crashed, engine)
	}
	s.crashed[f.Subject] = true
	s.changedAt = now
	s.trial = ""
	hold = holdTime(s.kind, len(s.crashed))
	s.heldUntil = now.Add(hold + t.opts.HoldDelay)
	_, held := t.heldSuspect(f.Feature, now)
	t.opts.Log.Warn("quarantine: suspected after a crash", "feature", f.Feature.String(), "replica", f.Subject, "crashes", len(s.crashed),
		"others", len(s.others), "generation", s.generation, "held", held, "hold_ms", hold.Milliseconds())
	return hold, true
}

// addTrial records that a request tries a feature, and reports whether that was new. A
// trial of a generation that has ended is ignored.
func (t *Tracker) addTrial(f Finding, now time.Time) bool {
	s, ok := t.suspects[f.Feature]
	if !ok || f.Generation != s.generation || s.trial == f.Subject {
		return false
	}
	s.trial, s.trialAt = f.Subject, now
	t.opts.Log.Info("quarantine: feature is tried", "feature", f.Feature.String(), "request", f.Subject, "crashes", len(s.crashed), "generation", s.generation)
	return true
}

// clear ends the generation of a finding, and the earlier ones.
func (t *Tracker) clear(f Finding, now time.Time) {
	s := t.getOrCreate(f.Feature, now)
	if f.Generation < s.generation {
		return
	}
	s.reset(f.Generation + 1)
	s.changedAt = now
	t.opts.Log.Info("quarantine: feature cleared", "feature", f.Feature.String(), "generation", f.Generation)
}

func (s *suspect) reset(generation int64) {
	s.generation = generation
	s.crashed = map[string]bool{}
	s.others = nil
	s.trial = ""
}

// getOrCreate returns the record of a feature. If there are too many, one is forgotten.
func (t *Tracker) getOrCreate(feature Feature, now time.Time) *suspect {
	s, ok := t.suspects[feature]
	if ok {
		return s
	}
	maps.DeleteFunc(t.suspects, func(_ Feature, s *suspect) bool { return s.isOver(now) })
	if len(t.suspects) >= maxSuspects {
		delete(t.suspects, lo.MinBy(lo.Keys(t.suspects), func(a, b Feature) bool { return t.suspects[a].lessImportant(t.suspects[b]) }))
	}
	s = &suspect{kind: feature.Kind, generation: firstGeneration, crashed: map[string]bool{}, changedAt: now}
	t.suspects[feature] = s
	return s
}

// isOver reports whether the record is no longer needed.
func (s *suspect) isOver(now time.Time) bool {
	return now.Sub(s.changedAt) >= memory && now.Sub(s.heldUntil) >= memory
}

// lessImportant reports whether s is to be forgotten before other: first those with a
// single crash or none, and of these the one that changed the longest time ago.
func (s *suspect) lessImportant(other *suspect) bool {
	certain, otherCertain := len(s.crashed) >= provenCrashLimit, len(other.crashed) >= provenCrashLimit
	if certain != otherCertain {
		return !certain
	}
	return s.changedAt.Before(other.changedAt)
}

// holdTime returns how long a feature is held after the n-th crash.
func holdTime(kind FeatureKind, n int) time.Duration {
	switch {
	case n <= 1:
		return firstHold
	case kind == FeatureRequest && n >= finalCrash:
		return finalHold
	}
	hold := repeatedHold
	for range n - provenCrashLimit {
		hold = min(hold*holdGrowth, maxHold)
	}
	return hold
}
