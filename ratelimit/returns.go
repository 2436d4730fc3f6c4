package ratelimit

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"
)

// maxReturnAfter bounds the time after which a refused caller returns.
const maxReturnAfter = 5 * time.Second

// returnTimes has the latest time at which a caller was told to return, by service.
type returnTimes struct {
	mu        sync.Mutex
	byService map[string]time.Time
}

// ReturnAfter returns when a caller should return that is refused because all the given
// replicas of a service have reached their limits or wait; soonest is when one of them takes
// a request again. Callers are told different times, at the rate at which the replicas take
// requests, divided by the number of hosts. Replicas that only wait name no rate; the times
// are random then.
func (l *Limiter) ReturnAfter(service string, replicas []string, soonest time.Duration, now time.Time) time.Duration {
	rate := lo.SumBy(replicas, func(replica string) float64 {
		r, _ := l.limits.Rate(replica, now)
		return r
	})
	if rate == 0 {
		return soonest + rand.N(waitReturns)
	}
	step := float64(time.Second) * float64(max(l.hosts.Size(), 1)) / max(rate, minRate)
	return l.returns.next(service, now.Add(soonest), time.Duration(step), now)
}

// next returns the time from now to the next turn of a service, which is step after the
// latest one and not before earliest. Where that is too late, the times are random.
func (r *returnTimes) next(service string, earliest time.Time, step time.Duration, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.byService[service]
	if at.Before(earliest) {
		at = earliest
	}
	at = at.Add(step)
	if at.Sub(now) > maxReturnAfter {
		return maxReturnAfter/2 + rand.N(maxReturnAfter/2)
	}
	removePast(r.byService, now)
	r.byService[service] = at
	return at.Sub(now)
}
