package replica

import (
	"maps"
	"strings"
	"time"

	"bulrushshed/gossip"
)

const (
	// leavingMemory is how long an incarnation that leaves is remembered while it is not
	// listed. It exceeds the age of a list that is read late, and of the backup from which
	// the store may be restored.
	leavingMemory = 2 * time.Minute
	// maxLeaving bounds the incarnations that are remembered.
	maxLeaving = 4096
)

// leavingSet holds, by incarnation, when replicas have announced that they leave.
type leavingSet map[string]time.Time

func (s leavingSet) has(r Replica) bool {
	if len(s) == 0 {
		return false
	}
	_, ok := s[r.Incarnation()]
	return ok
}

// MarkLeaving records that an incarnation of a replica has announced in an answer that it
// leaves. It counts as draining from now on, whatever its entry says, and also if the entry
// is read later. It reports whether that was not known yet.
func (l *List) MarkLeaving(incarnation string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.leaving[incarnation]; known {
		return false
	}
	l.expireLeaving(now)
	if len(l.leaving) >= maxLeaving {
		return false
	}
	l.leaving[incarnation] = now
	l.publishView()
	return true
}

// expireLeaving forgets the incarnations that have not been listed for leavingMemory. The
// caller holds l.mu.
func (l *List) expireLeaving(now time.Time) {
	for _, r := range l.entries {
		if l.leaving.has(r) {
			l.leaving[r.Incarnation()] = now
		}
	}
	maps.DeleteFunc(l.leaving, func(_ string, at time.Time) bool { return now.Sub(at) > leavingMemory })
}

// leavingKeyPrefix begins the keys of the gossip items of replicas that leave.
const leavingKeyPrefix = "leaving/"

// LeavingItem returns the gossip item that announces that an incarnation of a replica
// leaves.
func LeavingItem(incarnation string, now time.Time) gossip.Item {
	return gossip.Item{Key: leavingKeyPrefix + incarnation, Stamp: now.UnixMilli(), TTLMS: leavingMemory.Milliseconds()}
}

// ParseLeavingItem returns the incarnation that leaves; ok is false for other items.
func ParseLeavingItem(i gossip.Item) (incarnation string, ok bool) {
	incarnation, ok = strings.CutPrefix(i.Key, leavingKeyPrefix)
	return incarnation, ok && incarnation != ""
}
