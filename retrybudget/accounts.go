package retrybudget

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

// maxAccounts bounds the services that have an account.
const maxAccounts = 1024

// Options are the limits on the retries of a service over all hosts, and the host to which
// the accounts belong.
type Options struct {
	// Ratio is the number of retries allowed per request, and Extra the number of
	// additional ones in each Window.
	Ratio  float64
	Extra  float64
	Window time.Duration
	// Self is the address of this host.
	Self string
}

// Question asks another host for tokens of a service.
type Question struct {
	// ID is different for each question of a host.
	ID      uint64  `cbor:"id"`
	Service string  `cbor:"service"`
	Want    float64 `cbor:"want"`
}

// Loan is the answer to a Question.
type Loan struct {
	// ID is that of the question.
	ID      uint64  `cbor:"id"`
	Granted float64 `cbor:"granted"`
}

// State is the state of the account of a service.
type State struct {
	// Own are the tokens of this host, and Borrowed those of others, that are left. Spent
	// is what this host has spent or lent of its own in the last window.
	Own, Borrowed, Spent float64
	// Hosts is the number of hosts that share the extra part.
	Hosts int
}

// pending is a question that has not been answered.
type pending struct {
	service string
	want    float64
	// expires is when tokens granted for it can no longer be used.
	expires time.Duration
}

// Accounts has the accounts of this host. It is safe for concurrent use. All times are those
// of one clock.
type Accounts struct {
	opts Options

	mu       sync.Mutex
	services map[string]*account
	members  *membership
	pending  map[uint64]pending
	nextID   uint64
}

// NewAccounts returns empty accounts.
func NewAccounts(opts Options) *Accounts {
	return &Accounts{
		opts: opts, services: map[string]*account{}, members: newMembership(opts.Self, opts.Window),
		pending: map[uint64]pending{}, nextID: rand.Uint64(),
	}
}

// SetMembers records the addresses of all members of the group.
func (a *Accounts) SetMembers(addresses []string, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.members.set(addresses, now)
}

// ConfirmMember records that this host was a member of the group at a time, and that the
// list of members is not older than that.
func (a *Accounts) ConfirmMember(at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.members.confirm(at)
}

// RecordRequest counts a request of a caller.
func (a *Accounts) RecordRequest(service string, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.account(service, now); s != nil {
		s.requests[s.newest%storedBuckets]++
	}
}

// Spend takes a token for a retry, and reports whether there was one.
func (a *Accounts) Spend(r Retry, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.spend(r, now)
}

// spend is Spend for a caller that holds a.mu.
func (a *Accounts) spend(r Retry, now time.Duration) bool {
	s := a.account(r.Service, now)
	return s != nil && s.spend(r, a.own(s, now), now)
}

// Lend answers the question of another host. A question that arrives twice is charged
// twice, as the other host may credit either answer.
func (a *Accounts) Lend(q Question, now time.Duration) Loan {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.account(q.Service, now)
	if s == nil || !(q.Want > 0) {
		return Loan{ID: q.ID}
	}
	return Loan{ID: q.ID, Granted: s.lend(q.Want, s.available(a.opts.Ratio, a.extra(now), lentBuckets))}
}

// Ask returns a question to another host.
func (a *Accounts) Ask(service string, want float64, now time.Duration) Question {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.pending, func(_ uint64, p pending) bool { return now >= p.expires })
	a.nextID++
	loanTime := min(maxLoanTime, a.opts.Window*loanBuckets/windowBuckets)
	a.pending[a.nextID] = pending{service: service, want: want, expires: now + loanTime}
	return Question{ID: a.nextID, Service: service, Want: want}
}

// Credit adds the tokens of the first answer to a question, and returns their number. Other
// answers, and those that come too late, have none.
func (a *Accounts) Credit(l Loan, now time.Duration) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.pending[l.ID]
	delete(a.pending, l.ID)
	if !ok || now >= p.expires || !(l.Granted > 0) {
		return 0
	}
	granted := min(l.Granted, p.want)
	s := a.account(p.service, now)
	if s == nil {
		return 0
	}
	s.loans = append(s.loans, loan{tokens: granted, expires: p.expires})
	return granted
}

// State returns the state of the account of a service.
func (a *Accounts) State(service string, now time.Duration) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state(service, now)
}

// state is State for a caller that holds a.mu.
func (a *Accounts) state(service string, now time.Duration) State {
	hosts := a.members.hosts(now)
	s := a.account(service, now)
	if s == nil {
		return State{Hosts: hosts}
	}
	return State{Own: a.own(s, now), Borrowed: s.borrowed(now), Spent: s.charged(), Hosts: hosts}
}

// Hosts returns the number of hosts that share the extra part.
func (a *Accounts) Hosts(now time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members.hosts(now)
}

// Tokens returns the tokens that are left to this host, of all services.
func (a *Accounts) Tokens(now time.Duration) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	total := 0.0
	for _, s := range a.services {
		s.advance(a.bucket(now))
		total += a.own(s, now) + s.borrowed(now)
	}
	return total
}

// own returns the tokens of the account itself.
func (a *Accounts) own(s *account, now time.Duration) float64 {
	return s.available(a.opts.Ratio, a.extra(now), chargedBuckets)
}

// extra returns this host's share of the extra part.
func (a *Accounts) extra(now time.Duration) float64 { return a.opts.Extra * a.members.share(now) }

// bucket returns the number of the bucket of a time.
func (a *Accounts) bucket(now time.Duration) int64 {
	length := (a.opts.Window + windowBuckets - 1) / windowBuckets
	return int64(now / length)
}

// account returns the account of a service, or nil if there are too many.
func (a *Accounts) account(service string, now time.Duration) *account {
	bucket := a.bucket(now)
	s, ok := a.services[service]
	if !ok {
		if len(a.services) >= maxAccounts {
			maps.DeleteFunc(a.services, func(_ string, s *account) bool { return s.idle(bucket, now) })
		}
		if len(a.services) >= maxAccounts {
			return nil
		}
		s = &account{}
		a.services[service] = s
	}
	s.advance(bucket)
	return s
}
