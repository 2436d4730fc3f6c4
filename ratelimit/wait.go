package ratelimit

import (
	"context"
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
	// maxWait bounds the wait that a replica may name in one answer.
	maxWait = 10 * time.Minute
	// waitMargin is the random time by which a host prolongs a wait, as a fraction of it
	// and at most maxWaitMargin. It separates the hosts' returns to the replica.
	waitMargin    = 0.25
	maxWaitMargin = 300 * time.Millisecond
	// waitReturns is the time after the end of a wait over which refused callers return.
	waitReturns = 500 * time.Millisecond
	// maxWaits bounds the replicas whose waits are remembered.
	maxWaits = 2048
)

// ParseWait returns how long a replica wants no more requests from this host, as it says in
// the Retry-After fields of a refusal. Only seconds count, since a date would depend on the
// clocks of both sides. Of several valid fields the longest counts, and without any the
// wait is 0.
func ParseWait(fields []string) time.Duration {
	longest := 0.0
	for _, text := range fields {
		if seconds, err := strconv.ParseFloat(text, 64); err == nil && !math.IsNaN(seconds) {
			longest = max(longest, seconds)
		}
	}
	return time.Duration(min(longest, maxWait.Seconds()) * float64(time.Second))
}

// waits has the times until which replicas want no requests from this host. It is safe for
// concurrent use.
type waits struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newWaits() *waits { return &waits{until: map[string]time.Time{}} }

// record prolongs the wait of a replica, and never shortens it.
func (w *waits) record(replica string, until, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	removePast(w.until, now)
	if _, known := w.until[replica]; !known && len(w.until) >= maxWaits {
		first := lo.MinBy(lo.Keys(w.until), func(a, b string) bool { return w.until[a].Before(w.until[b]) })
		delete(w.until, first)
	}
	if until.After(w.until[replica]) {
		w.until[replica] = until
	}
}

// left returns how long a replica still wants no requests, or 0.
func (w *waits) left(replica string, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.until[replica].Sub(now), 0)
}

// all returns how long each replica that waits still does.
func (w *waits) all(now time.Time) map[string]time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	removePast(w.until, now)
	return lo.MapValues(w.until, func(until time.Time, _ string) time.Duration { return until.Sub(now) })
}

// RecordWait records that an incarnation of a replica wants no requests from this host for
// a while.
func (l *Limiter) RecordWait(replica string, wait time.Duration, now time.Time) {
	if wait <= 0 {
		return
	}
	margin := min(time.Duration(waitMargin*float64(wait)), maxWaitMargin)
	l.waits.record(replica, now.Add(wait+rand.N(margin+1)), now)
	l.log.Info("ratelimit: replica wants no requests for a while", "replica", replica, "wait_ms", wait.Milliseconds())
}

// Waiting reports whether a replica wants no requests from this host now.
func (l *Limiter) Waiting(replica string, now time.Time) bool { return l.waits.left(replica, now) > 0 }

// awaitWait waits until a replica takes requests from this host again, if the request may
// wait for as long. Otherwise ok is false, and the permit says how long the replica waits.
func (l *Limiter) awaitWait(ctx context.Context, replica string, need Need) (refusal Permit, ok bool) {
	left := l.waits.left(replica, time.Now())
	if left == 0 {
		return Permit{}, true
	}
	if left > need.MaxWait {
		return Permit{WaitMS: roundUpMS(left)}, false
	}
	select {
	case <-time.After(left):
		return Permit{}, true
	case <-ctx.Done():
		return Permit{}, false
	}
}

// waitKeyPrefix begins the keys of the gossip items of waits.
const waitKeyPrefix = "wait/"

// WaitItem returns the gossip item that tells the host at an address that a replica wants no
// requests from it for a while. Another host has learned that on a connection which that
// host relays.
func WaitItem(host, replica string, wait time.Duration, now time.Time) gossip.Item {
	return gossip.Item{Key: waitKeyPrefix + host + "/" + replica, Stamp: now.UnixMilli(), TTLMS: wait.Milliseconds()}
}

// Wait is the content of a WaitItem.
type Wait struct {
	// Host is the address of the host from which the replica wants no requests.
	Host    string
	Replica string
	// Left is what is left of the wait.
	Left time.Duration
}

// ParseWaitItem returns the wait that an item announces; ok is false for other items.
func ParseWaitItem(i gossip.Item) (w Wait, ok bool) {
	rest, ok := strings.CutPrefix(i.Key, waitKeyPrefix)
	host, replica, found := strings.Cut(rest, "/")
	if !ok || !found || host == "" || replica == "" {
		return Wait{}, false
	}
	return Wait{Host: host, Replica: replica, Left: min(time.Duration(i.TTLMS)*time.Millisecond, maxWait)}, true
}
