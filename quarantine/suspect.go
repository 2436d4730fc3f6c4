package quarantine

import (
	"maps"
	"strconv"
	"time"

	"github.com/samber/lo"
)

// suspect is what is known about a part that may have crashed engines.
type suspect struct {
	generation int64
	// crashed has the engines that crashed under the part in this generation, and
	// others the parts that all of these crashes have in common with it.
	crashed map[string]bool
	others  []uint64
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

// generation returns the generation to which a new crash under a part belongs.
func (t *Tracker) generation(part uint64) int64 {
	if s, ok := t.suspects[part]; ok {
		return s.generation
	}
	return firstGeneration
}

const firstGeneration = 1

// addCrash adds a crash and reports whether it was new. A crash of a generation that
// has been cleared is ignored; one of a later generation than known replaces those of
// the earlier ones.
func (t *Tracker) addCrash(f Finding, now time.Time) bool {
	s := t.getOrCreate(f.Part, now)
	if f.Generation < s.generation || f.Generation == s.generation && s.crashed[f.Subject] {
		return false
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
	hold := holdTime(len(s.crashed))
	s.heldUntil = now.Add(hold)
	_, held := t.heldSuspect(f.Part, now)
	t.opts.Log.Warn("quarantine: prompt part suspected after an engine crash", "part", formatPart(f.Part), "engine", f.Subject, "crashes", len(s.crashed),
		"others", len(s.others), "generation", s.generation, "held", held, "hold_ms", hold.Milliseconds())
	return true
}

// addTrial records that a request tries a part, and reports whether that was new. A
// trial of a generation that has ended is ignored.
func (t *Tracker) addTrial(f Finding, now time.Time) bool {
	s, ok := t.suspects[f.Part]
	if !ok || f.Generation != s.generation || s.trial == f.Subject {
		return false
	}
	s.trial, s.trialAt = f.Subject, now
	t.opts.Log.Info("quarantine: prompt part is tried", "part", formatPart(f.Part), "request", f.Subject, "crashes", len(s.crashed), "generation", s.generation)
	return true
}

// clear ends the generation of a finding, and the earlier ones.
func (t *Tracker) clear(f Finding, now time.Time) {
	s := t.getOrCreate(f.Part, now)
	if f.Generation < s.generation {
		return
	}
	s.reset(f.Generation + 1)
	s.changedAt = now
	t.opts.Log.Info("quarantine: prompt part cleared", "part", formatPart(f.Part), "generation", f.Generation)
}

func (s *suspect) reset(generation int64) {
	s.generation = generation
	s.crashed = map[string]bool{}
	s.others = nil
	s.trial = ""
}

// getOrCreate returns the record of a part. If there are too many, the one that changed
// the longest time ago is forgotten.
func (t *Tracker) getOrCreate(part uint64, now time.Time) *suspect {
	s, ok := t.suspects[part]
	if ok {
		return s
	}
	maps.DeleteFunc(t.suspects, func(_ uint64, s *suspect) bool { return now.Sub(s.changedAt) >= memory })
	if len(t.suspects) >= maxSuspects {
		oldest := lo.MinBy(lo.Keys(t.suspects), func(a, b uint64) bool { return t.suspects[a].changedAt.Before(t.suspects[b].changedAt) })
		delete(t.suspects, oldest)
	}
	s = &suspect{generation: firstGeneration, crashed: map[string]bool{}, changedAt: now}
	t.suspects[part] = s
	return s
}

// holdTime returns how long a part is held after the n-th crash.
func holdTime(n int) time.Duration {
	if n <= 1 {
		return firstHold
	}
	hold := repeatedHold
	for range n - provenCrashLimit {
		hold = min(hold*holdGrowth, maxHold)
	}
	return hold
}

func formatPart(part uint64) string { return strconv.FormatUint(part, 16) }
