package ratelimit

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"
)

const (
	// askTimeout bounds one question to another host.
	askTimeout = 60 * time.Millisecond
	// unreachableFor is how long a host that did not answer is not asked again.
	unreachableFor = time.Second
	// candidates is the number of hosts that may be asked about a replica: the one that
	// is responsible, and the one that takes its place.
	candidates = 2
	// maxBlocked bounds the time for which a replica is not asked about again.
	maxBlocked = 500 * time.Millisecond
)

// Host is a host that may be responsible for a replica.
type Host struct {
	Name    string
	Address string
	// Self is set for this host.
	Self bool
}

// Asker asks other hosts for permits.
type Asker interface {
	// Ask asks the host at an address.
	Ask(ctx context.Context, address string, q Question) (Permit, error)
}

// Hosts provides the hosts that grant permits.
type Hosts interface {
	Asker
	// Responsible returns up to n hosts for a replica. The first one is responsible, and
	// each further one if those before it cannot be reached.
	Responsible(replica string, n int) []Host
	// Size returns the number of hosts.
	Size() int
}

// Limiter obtains permits for the requests of this host, and answers the questions of
// others. It is safe for concurrent use.
type Limiter struct {
	limits    *Limits
	allocator *Allocator
	hosts     Hosts
	log       *slog.Logger

	mu sync.Mutex
	// blocked has the times until which the replicas have no request left, and
	// unreachable those until which the hosts are not asked.
	blocked     map[string]time.Time
	unreachable map[string]time.Time

	waits   *waits
	returns returnTimes
}

// NewLimiter returns a limiter for the limits in a table.
func NewLimiter(limits *Limits, hosts Hosts, log *slog.Logger) *Limiter {
	return &Limiter{
		limits: limits, allocator: NewAllocator(), hosts: hosts, log: log,
		blocked: map[string]time.Time{}, unreachable: map[string]time.Time{}, waits: newWaits(), returns: returnTimes{byService: map[string]time.Time{}},
	}
}

// Need describes the request for which a permit is acquired.
type Need struct {
	// MaxWait is how long the request may wait for its turn.
	MaxWait time.Duration
	// Urgent is set for requests of callers that already receive an answer.
	Urgent bool
}

// Acquire asks for a permit for one request to a replica, and waits until the request may
// be sent. A replica that names neither a limit nor a wait needs none. The permit is not
// granted if ctx ends meanwhile, or if the replica waits for longer than the request may.
func (l *Limiter) Acquire(ctx context.Context, replica string, need Need) Permit {
	if refusal, ok := l.awaitWait(ctx, replica, need); !ok {
		return refusal
	}
	p := l.acquireTurn(ctx, replica, need)
	if left := l.waits.left(replica, time.Now()); left > 0 {
		return Permit{WaitMS: roundUpMS(left)}
	}
	return p
}

// acquireTurn waits for the turn of a request at a replica that names a limit.
func (l *Limiter) acquireTurn(ctx context.Context, replica string, need Need) Permit {
	rate, limited := l.limits.Rate(replica, time.Now())
	if !limited {
		return Permit{Granted: true}
	}
	if wait := l.blockedFor(replica, time.Now()); wait > need.MaxWait && !need.Urgent {
		return Permit{WaitMS: roundUpMS(wait)}
	}
	p := l.ask(ctx, Question{Replica: replica, Rate: rate, MaxWaitMS: need.MaxWait.Milliseconds(), Urgent: need.Urgent})
	if !p.Granted {
		l.block(replica, p.Wait(), time.Now())
		return p
	}
	if p.WaitMS > 0 {
		select {
		case <-time.After(p.Wait()):
		case <-ctx.Done():
			return Permit{}
		}
	}
	return p
}

// Blocked returns the replicas that take no more requests for a moment, and how long that
// lasts.
func (l *Limiter) Blocked(now time.Time) map[string]time.Duration {
	blocked := l.waits.all(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	removePast(l.blocked, now)
	for replica, until := range l.blocked {
		blocked[replica] = max(blocked[replica], until.Sub(now))
	}
	return blocked
}

// Answer answers the question of another host.
func (l *Limiter) Answer(q Question, now time.Time) Permit {
	rate, limited := l.limits.Rate(q.Replica, now)
	if !limited {
		rate = q.Rate
	}
	return l.allocator.Decide(q, rate, now)
}

// ask asks the responsible host, or the next one if it cannot be reached.
func (l *Limiter) ask(ctx context.Context, q Question) Permit {
	for i, host := range l.hosts.Responsible(q.Replica, candidates) {
		q.Fallback = i > 0
		if host.Self {
			return l.Answer(q, time.Now())
		}
		if l.isUnreachable(host.Name, time.Now()) {
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, askTimeout)
		p, err := l.hosts.Ask(askCtx, host.Address, q)
		cancel()
		if err == nil {
			return p
		}
		if ctx.Err() != nil {
			return Permit{}
		}
		l.log.Info("ratelimit: responsible host not reached", "replica", q.Replica, "peer", host.Name, "fallback", q.Fallback, "cause", err.Error())
		l.markUnreachable(host.Name, time.Now())
	}
	return Permit{WaitMS: maxBlocked.Milliseconds()}
}

func (l *Limiter) blockedFor(replica string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blocked[replica].Sub(now)
}

func (l *Limiter) block(replica string, wait time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	removePast(l.blocked, now)
	l.blocked[replica] = now.Add(min(wait, maxBlocked))
}

func (l *Limiter) isUnreachable(host string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.unreachable[host])
}

func (l *Limiter) markUnreachable(host string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	removePast(l.unreachable, now)
	l.unreachable[host] = now.Add(unreachableFor)
}

func removePast(times map[string]time.Time, now time.Time) {
	maps.DeleteFunc(times, func(_ string, until time.Time) bool { return !now.Before(until) })
}
