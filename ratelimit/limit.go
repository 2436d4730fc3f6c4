package ratelimit

import (
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"bulrushshed/gossip"
)

const (
	// limitTTL is how long a limit applies after the last answer that named it.
	limitTTL = 30 * time.Second
	// minRefreshAge and maxRefreshAge bound the random age at which a host that reads a
	// limit again announces it again.
	minRefreshAge = 8 * time.Second
	maxRefreshAge = 16 * time.Second
	// minRate is the lowest rate, in requests per second, at which a replica is used. Its
	// answers tell when the limit ends.
	minRate = 0.25
	// maxLimits bounds the replicas whose limits are remembered.
	maxLimits = 2048
)

// Naming is what one answer of a replica says about its limit.
type Naming struct {
	// Named is set if the answer names a limit, and Rate is that limit in requests per
	// second.
	Named bool
	Rate  float64
}

// ParseNaming returns what the text of a header says, which is empty if the answer names no
// limit. A text that is no number becomes one that Limits ignores.
func ParseNaming(text string) Naming {
	if text == "" {
		return Naming{}
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil {
		rate = math.NaN()
	}
	return Naming{Named: true, Rate: rate}
}

// Limits has the limits that replicas have named. It is safe for concurrent use.
type Limits struct {
	// publish announces a change to the other hosts. It must not block.
	publish func(gossip.Item)
	log     *slog.Logger

	mu        sync.Mutex
	byReplica map[string]*limit
}

// limit is the last known state of one replica.
type limit struct {
	Naming
	// stamp orders the announcements about the replica.
	stamp int64
	// changedAt is when this host learned of the current state. Answers to requests that
	// were sent earlier do not change it.
	changedAt time.Time
	refreshAt time.Time
	expiresAt time.Time
}

// NewLimits returns a table without limits.
func NewLimits(publish func(gossip.Item), log *slog.Logger) *Limits {
	return &Limits{publish: publish, log: log, byReplica: map[string]*limit{}}
}

// Record records what an answer says. replica identifies the incarnation of the replica,
// and sentAt is when the request was sent.
func (l *Limits) Record(replica string, n Naming, sentAt, now time.Time) {
	if n.Named && !(n.Rate >= 0 && !math.IsInf(n.Rate, 0)) {
		l.log.Debug("ratelimit: limit ignored, because it is no rate", "replica", replica, "rate", n.Rate)
		return
	}
	l.mu.Lock()
	i, changed := l.record(replica, n, sentAt, now)
	l.mu.Unlock()
	if changed {
		l.publish(i)
	}
}

// record returns the item to announce, if any.
func (l *Limits) record(replica string, n Naming, sentAt, now time.Time) (i gossip.Item, announce bool) {
	current, known := l.get(replica, now)
	switch {
	case !known && !n.Named:
		return gossip.Item{}, false
	case known && current.Naming == n:
		if !n.Named {
			return gossip.Item{}, false
		}
		current.expiresAt = now.Add(limitTTL)
		if now.Before(current.refreshAt) {
			return gossip.Item{}, false
		}
	case known && sentAt.Before(current.changedAt):
		return gossip.Item{}, false
	}
	stamp := now.UnixMilli()
	if known {
		stamp = max(stamp, current.stamp+1)
	}
	l.set(replica, n, stamp, now, limitTTL)
	return item(replica, n, stamp), true
}

// Merge records what another host has announced; ok is false if the item is not of this
// package.
func (l *Limits) Merge(i gossip.Item, now time.Time) (ok bool) {
	replica, n, ok := parseItem(i)
	if !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if current, known := l.get(replica, now); known && current.stamp >= i.Stamp {
		return true
	}
	l.set(replica, n, i.Stamp, now, min(time.Duration(i.TTLMS)*time.Millisecond, limitTTL))
	return true
}

// Rate returns the rate at which a replica may be used; limited is false if it names none.
func (l *Limits) Rate(replica string, now time.Time) (rate float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, known := l.get(replica, now)
	if !known || !current.Named {
		return 0, false
	}
	return max(current.Rate, minRate), true
}

// Len returns the number of replicas that name a limit.
func (l *Limits) Len(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return lo.CountBy(lo.Values(l.byReplica), func(current *limit) bool { return current.Named && now.Before(current.expiresAt) })
}

func (l *Limits) get(replica string, now time.Time) (current *limit, known bool) {
	current, known = l.byReplica[replica]
	if known && !now.Before(current.expiresAt) {
		delete(l.byReplica, replica)
		return nil, false
	}
	return current, known
}

func (l *Limits) set(replica string, n Naming, stamp int64, now time.Time, ttl time.Duration) {
	current, known := l.byReplica[replica]
	if !known {
		l.makeRoom(now)
		current = &limit{}
		l.byReplica[replica] = current
	}
	if !known || current.Naming != n {
		current.changedAt = now
		if known || n.Named {
			l.log.Info("ratelimit: replica changed its limit", "replica", replica, "named", n.Named, "rate", n.Rate, "before", current.Rate)
		}
	}
	current.Naming = n
	current.stamp = stamp
	current.refreshAt = now.Add(minRefreshAge + rand.N(maxRefreshAge-minRefreshAge))
	current.expiresAt = now.Add(ttl)
}

// makeRoom removes the limits that have expired, and the one that expires first if there
// are too many.
func (l *Limits) makeRoom(now time.Time) {
	if len(l.byReplica) < maxLimits {
		return
	}
	maps.DeleteFunc(l.byReplica, func(_ string, current *limit) bool { return !now.Before(current.expiresAt) })
	if len(l.byReplica) >= maxLimits {
		first := lo.MinBy(lo.Keys(l.byReplica), func(a, b string) bool { return l.byReplica[a].expiresAt.Before(l.byReplica[b].expiresAt) })
		delete(l.byReplica, first)
	}
}

// itemKeyPrefix begins the keys of the gossip items of limits.
const itemKeyPrefix = "limit/"

// item returns the gossip item that announces a limit, or its end if the value is empty.
func item(replica string, n Naming, stamp int64) gossip.Item {
	i := gossip.Item{Key: itemKeyPrefix + replica, Stamp: stamp, TTLMS: limitTTL.Milliseconds()}
	if n.Named {
		i.Value = strconv.AppendFloat(nil, n.Rate, 'g', -1, 64)
	}
	return i
}

func parseItem(i gossip.Item) (replica string, n Naming, ok bool) {
	replica, ok = strings.CutPrefix(i.Key, itemKeyPrefix)
	if !ok || replica == "" || len(i.Value) == 0 {
		return replica, Naming{}, ok && replica != ""
	}
	rate, err := strconv.ParseFloat(string(i.Value), 64)
	if err != nil || !(rate >= 0 && !math.IsInf(rate, 0)) {
		return "", Naming{}, false
	}
	return replica, Naming{Named: true, Rate: rate}, true
}
