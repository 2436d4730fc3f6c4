package relay

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// avoidTime is how long a host that did not answer, or was busy, is not asked again.
	avoidTime = time.Second
	// resultTTL is how long the result of asking a host is remembered.
	resultTTL = 10 * time.Second
)

// hostTable has the results of asking other hosts, by address. It is safe for concurrent
// use.
type hostTable struct {
	mu      sync.Mutex
	results map[string]hostResult
}

// hostResult is the last result of asking one host.
type hostResult struct {
	at time.Time
	// connected is set if the host connected to a replica, and avoid if it could not even
	// try.
	connected bool
	avoid     bool
}

// rank orders hosts by their last results; lower ranks are asked first.
type rank int

const (
	rankConnected rank = iota
	rankUnknown
	// rankUnreachable is for hosts that did not reach a replica. It may be the replica that
	// is down, or the host that is cut, too.
	rankUnreachable
	rankAvoid
)

func newHostTable() *hostTable { return &hostTable{results: map[string]hostResult{}} }

func (t *hostTable) recordSuccess(host string, now time.Time) {
	t.record(host, hostResult{at: now, connected: true})
}

func (t *hostTable) recordFailure(host string, err error, now time.Time) {
	var e *Error
	unreachable := errors.As(err, &e) && e.Kind == KindUnreachable
	t.record(host, hostResult{at: now, avoid: !unreachable})
}

func (t *hostTable) record(host string, r hostResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for h, old := range t.results {
		if r.at.Sub(old.at) > resultTTL {
			delete(t.results, h)
		}
	}
	t.results[host] = r
}

func (t *hostTable) rank(host string, now time.Time) rank {
	r, ok := t.results[host]
	age := now.Sub(r.at)
	switch {
	case !ok || age > resultTTL:
		return rankUnknown
	case r.connected:
		return rankConnected
	case r.avoid && age < avoidTime:
		return rankAvoid
	case r.avoid || age > avoidTime:
		return rankUnknown
	}
	return rankUnreachable
}

// order returns the hosts that may be asked: by their last results, those of the given
// failure domain first, in random order otherwise.
func (t *hostTable) order(hosts []Host, domain string, now time.Time) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	ranks := make(map[Host]rank, len(hosts))
	for _, h := range hosts {
		if r := t.rank(h.Address, now); r != rankAvoid {
			ranks[h] = r
		}
	}
	ordered := make([]Host, 0, len(ranks))
	for h := range ranks {
		ordered = append(ordered, h)
	}
	rand.Shuffle(len(ordered), func(i, j int) { ordered[i], ordered[j] = ordered[j], ordered[i] })
	slices.SortStableFunc(ordered, func(a, b Host) int {
		return cmp.Or(cmp.Compare(ranks[a], ranks[b]), cmp.Compare(distance(a, domain), distance(b, domain)))
	})
	return ordered
}

func distance(h Host, domain string) int {
	if h.FailureDomain == domain {
		return 0
	}
	return 1
}
