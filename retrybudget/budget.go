package retrybudget

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
)

const (
	// borrowTimeout is how long a request may wait for tokens of other hosts, and how long
	// one of them has to answer.
	borrowTimeout = 60 * time.Millisecond
	// lendersAtOnce is the number of hosts that are asked at a time.
	lendersAtOnce = 3
	// maxQuestions is the largest number of questions in each questionInterval.
	maxQuestions     = 20
	questionInterval = time.Second
	// unreachableFor is how long a host that did not answer is not asked again. One that
	// lent less than it was asked for is not asked until all others could have been.
	unreachableFor = time.Second
	// askedFraction is the fraction of the missing tokens for which each of several hosts
	// is asked, so that two that have enough suffice.
	askedFraction = 0.5
)

// Lender is another host that may lend tokens.
type Lender struct {
	Address string
	// Near is set for hosts in the failure domain of this host. They are asked first.
	Near bool
}

// Lenders provides the other hosts.
type Lenders interface {
	// Lenders returns all other members.
	Lenders() []Lender
	// Borrow asks the host at an address for tokens.
	Borrow(ctx context.Context, address string, q Question) (Loan, error)
}

// The events that are counted.
const (
	eventAllowed  = "allowed"
	eventRefused  = "refused"
	eventLent     = "lent"
	eventBorrowed = "borrowed"
)

// Counter counts tokens.
type Counter interface {
	// CountTokens counts tokens of a service to which an event happened, or the retries
	// that were refused.
	CountTokens(service, event string, tokens float64)
}

// Decision tells whether a request may be sent once more.
type Decision struct {
	Allowed bool
	// State is that of the account of its service when it was refused.
	State State
}

// Budget allows retries as long as this host has tokens or can borrow some. It is safe for
// concurrent use.
type Budget struct {
	accounts *Accounts
	lenders  Lenders
	counter  Counter
	log      *slog.Logger
	// clock returns a time that continues while the process is suspended.
	clock func() time.Duration

	// mu is the lock of the accounts, so that no token is taken for a request that has
	// stopped waiting.
	mu *sync.Mutex
	// waiting has the requests that wait for tokens, by service, and borrowing the services
	// for which a goroutine borrows some.
	waiting   map[string][]*waiter
	borrowing map[string]bool
	// asked has the times of the latest questions, and avoided until when hosts are not
	// asked.
	asked   []time.Duration
	avoided map[string]time.Duration
}

// waiter is a request that waits for a token. decided receives whether it got one.
type waiter struct {
	retry   Retry
	decided chan bool
}

// NewBudget returns a budget of the given accounts, whose times are those of the clock.
func NewBudget(accounts *Accounts, lenders Lenders, clock func() time.Duration, counter Counter, log *slog.Logger) *Budget {
	return &Budget{
		accounts: accounts, lenders: lenders, counter: counter, log: log, clock: clock, mu: &accounts.mu,
		waiting: map[string][]*waiter{}, borrowing: map[string]bool{}, avoided: map[string]time.Duration{},
	}
}

// RecordRequest counts a request of a caller.
func (b *Budget) RecordRequest(service string) { b.accounts.RecordRequest(service, b.clock()) }

// AllowRetry decides whether a request may be sent once more. If this host has no token, it
// may wait for those of other hosts, for at most borrowTimeout.
func (b *Budget) AllowRetry(ctx context.Context, r Retry) Decision {
	if b.accounts.Spend(r, b.clock()) || !r.NoWait && b.await(ctx, r) {
		b.counter.CountTokens(r.Service, eventAllowed, 1)
		return Decision{Allowed: true}
	}
	b.counter.CountTokens(r.Service, eventRefused, 1)
	return Decision{State: b.accounts.State(r.Service, b.clock())}
}

// Lend answers the question of another host.
func (b *Budget) Lend(q Question) Loan {
	l := b.accounts.Lend(q, b.clock())
	b.counter.CountTokens(q.Service, eventLent, l.Granted)
	return l
}

// await waits for tokens of other hosts, and reports whether the request got one.
func (b *Budget) await(ctx context.Context, r Retry) bool {
	w := &waiter{retry: r, decided: make(chan bool, 1)}
	b.mu.Lock()
	b.waiting[r.Service] = append(b.waiting[r.Service], w)
	if !b.borrowing[r.Service] {
		b.borrowing[r.Service] = true
		go b.borrow(r.Service)
	}
	b.mu.Unlock()
	timer := time.NewTimer(borrowTimeout)
	defer timer.Stop()
	select {
	case allowed := <-w.decided:
		return allowed
	case <-timer.C:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if waiting, ok := b.waiting[r.Service]; ok {
		b.waiting[r.Service] = lo.Without(waiting, w)
	}
	select {
	case allowed := <-w.decided:
		return allowed
	default:
		return false
	}
}

// borrow asks other hosts until no request waits, or none is left to be asked. It ends soon,
// as all requests stop waiting after borrowTimeout.
func (b *Budget) borrow(service string) {
	for {
		lenders, want := b.nextQuestions(service)
		if len(lenders) == 0 {
			return
		}
		b.askAll(service, lenders, want)
	}
}

// nextQuestions returns the hosts to ask now, and how many tokens each is asked for. If
// there are none, the requests that wait are refused and borrowing ends.
func (b *Budget) nextQuestions(service string) (lenders []Lender, want float64) {
	all := b.lenders.Lenders()
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	if len(b.waiting[service]) > 0 {
		lenders = b.selectLenders(all, now)
	}
	if len(lenders) == 0 {
		for _, w := range b.waiting[service] {
			w.decided <- false
		}
		delete(b.waiting, service)
		delete(b.borrowing, service)
		return nil, 0
	}
	state := b.accounts.state(service, now)
	missing := float64(len(b.waiting[service])) - state.Own - state.Borrowed
	if missing <= 0 {
		// The tokens that are left are reserved for more urgent requests.
		missing = 1
	}
	return lenders, missing * max(askedFraction, 1/float64(len(lenders)))
}

// selectLenders returns the hosts to ask, and records that they are asked.
func (b *Budget) selectLenders(all []Lender, now time.Duration) []Lender {
	b.asked = slices.DeleteFunc(b.asked, func(at time.Duration) bool { return now-at >= questionInterval })
	all = lo.Filter(all, func(l Lender, _ int) bool { return now >= b.avoided[l.Address] })
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	near, far := lo.FilterReject(all, func(l Lender, _ int) bool { return l.Near })
	ordered := slices.Concat(near, far)
	ordered = ordered[:min(len(ordered), lendersAtOnce, maxQuestions-len(b.asked))]
	for range ordered {
		b.asked = append(b.asked, now)
	}
	return ordered
}

// askAll asks hosts for tokens, and serves the requests that wait at each answer.
func (b *Budget) askAll(service string, lenders []Lender, want float64) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	credited := make(chan float64, len(lenders))
	for _, l := range lenders {
		go func() { credited <- b.ask(ctx, service, l, want) }()
	}
	for range lenders {
		select {
		case tokens := <-credited:
			if tokens > 0 {
				b.serve(service)
			}
		case <-ctx.Done():
			return
		}
	}
}

// ask asks one host, and returns the tokens that it lent.
func (b *Budget) ask(ctx context.Context, service string, l Lender, want float64) float64 {
	// A host that does not answer in time is avoided at once.
	b.avoid(l.Address, unreachableFor)
	loan, err := b.lenders.Borrow(ctx, l.Address, b.accounts.Ask(service, want, b.clock()))
	if err != nil {
		b.log.Debug("retrybudget: host asked for tokens did not answer", "service", service, "peer", l.Address, "cause", err.Error())
		return 0
	}
	tokens := b.accounts.Credit(loan, b.clock())
	if others := len(b.lenders.Lenders()); tokens < want {
		b.avoid(l.Address, questionInterval*time.Duration(others)/maxQuestions)
	} else {
		b.avoid(l.Address, 0)
	}
	b.counter.CountTokens(service, eventBorrowed, tokens)
	return tokens
}

// avoid keeps a host from being asked for a while.
func (b *Budget) avoid(address string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	for a, until := range b.avoided {
		if now >= until {
			delete(b.avoided, a)
		}
	}
	if d > 0 {
		b.avoided[address] = now + d
		return
	}
	delete(b.avoided, address)
}

// serve gives tokens to the requests that wait, the most urgent first.
func (b *Budget) serve(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.waiting[service]
	slices.SortStableFunc(all, func(x, y *waiter) int {
		return lo.Ternary(y.retry.before(x.retry), 1, 0) - lo.Ternary(x.retry.before(y.retry), 1, 0)
	})
	for len(all) > 0 && b.accounts.spend(all[0].retry, b.clock()) {
		all[0].decided <- true
		all = all[1:]
	}
	b.waiting[service] = all
}
