package retrybudget_test

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"bulrushshed/retrybudget"
)

const (
	window  = 10 * time.Second
	service = "s"
	// heartbeat is the interval at which hosts renew their membership and read the
	// members, and memberTTL how long they are listed without that.
	heartbeat = 500 * time.Millisecond
	memberTTL = 2500 * time.Millisecond
	// partialFor is how long after its start a host may see partial lists.
	partialFor = 2 * time.Second
	// serveFor is how long a host serves after it has left the group.
	serveFor = 7650 * time.Millisecond
	// maxDelay is the longest time from the use of a token to the arrival.
	maxDelay = window / 40
)

// fault is an error that a test seeds into the fleet.
type fault string

const (
	faultNone fault = ""
	// faultUncharged lends tokens without charging them.
	faultUncharged fault = "lent tokens are not charged"
	// faultDoubleCredit credits each answer that arrives twice, twice.
	faultDoubleCredit fault = "a duplicate answer is credited"
	// faultNoStart gives a process that starts the share of one that has run for long.
	faultNoStart fault = "a new process has a full share"
	// faultForgets makes hosts forget all but the newest list of members, as if they had
	// just started.
	faultForgets fault = "hosts that have left do not count"
)

// simHost is the place of a host: at most one process runs there at a time.
type simHost struct {
	accounts  *retrybudget.Accounts
	startedAt time.Duration
	frozen    bool
	// left is set once the host has left the group, at leftAt.
	left   bool
	leftAt time.Duration
	// listedAt is when the host last renewed its membership.
	listedAt time.Duration
	listed   bool
	// side is the part of a partitioned network; the store is on side 0.
	side int
}

// answer is an answer that is still on its way.
type answer struct {
	to   *retrybudget.Accounts
	loan retrybudget.Loan
	at   time.Duration
}

// fleet simulates hosts without a network.
type fleet struct {
	opts  retrybudget.Options
	fault fault
	hosts []*simHost
	now   time.Duration
	// partial makes hosts that have just started see only themselves and the hosts
	// before them.
	partial  bool
	answers  []answer
	requests []time.Duration
	arrivals []time.Duration
}

func newFleet(opts retrybudget.Options, hosts int) *fleet {
	opts.Window = window
	f := &fleet{opts: opts, now: time.Hour}
	for range hosts {
		f.hosts = append(f.hosts, &simHost{})
	}
	return f
}

func address(i int) string { return fmt.Sprint("host-", i) }

func (f *fleet) start(i int) {
	h := f.hosts[i]
	if h.accounts != nil {
		return
	}
	opts := f.opts
	opts.Self = address(i)
	h.accounts, h.startedAt, h.frozen, h.left = retrybudget.NewAccounts(opts), f.now, false, false
	if f.fault == faultNoStart {
		h.accounts.SetMembers([]string{opts.Self}, f.now-time.Hour)
	}
}

func (f *fleet) kill(i int) { f.hosts[i].accounts = nil }

// members returns the members of the group as a host reads them.
func (f *fleet) members(reader int) []string {
	var all []string
	young := f.now-f.hosts[reader].startedAt < partialFor
	for i, h := range f.hosts {
		if h.listed && f.now-h.listedAt <= memberTTL && (i <= reader || !young || !f.partial) {
			all = append(all, address(i))
		}
	}
	return all
}

// serving returns the accounts of a host that can act, or nil.
func (f *fleet) serving(i int) *retrybudget.Accounts {
	if f.hosts[i].frozen {
		return nil
	}
	return f.hosts[i].accounts
}

// advance lets time pass, with heartbeats and answers that arrive.
func (f *fleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now = min(end, f.now+heartbeat)
		f.deliver()
		for _, h := range f.hosts {
			if h.left && f.now-h.leftAt >= serveFor {
				h.accounts = nil
			}
			if h.accounts != nil && !h.frozen && !h.left && h.side == 0 {
				h.accounts.ConfirmMember(f.now)
				h.listed, h.listedAt = true, f.now
			}
		}
		for i, h := range f.hosts {
			if h.accounts == nil || h.frozen || h.left || h.side != 0 {
				continue
			}
			if f.fault == faultForgets {
				h.accounts.SetMembers(f.members(i), f.now-time.Hour)
			}
			h.accounts.SetMembers(f.members(i), f.now)
		}
	}
}

func (f *fleet) deliver() {
	f.answers = slices.DeleteFunc(f.answers, func(a answer) bool {
		if a.at <= f.now {
			a.to.Credit(a.loan, f.now)
		}
		return a.at <= f.now
	})
}

// leave makes a host leave the group; it serves for a while.
func (f *fleet) leave(i int) {
	h := f.hosts[i]
	if h.accounts != nil && !h.left {
		h.left, h.leftAt, h.listed = true, f.now, false
	}
}

func (f *fleet) request(i, n int) {
	if a := f.serving(i); a != nil {
		for range n {
			a.RecordRequest(service, f.now)
			f.requests = append(f.requests, f.now)
		}
	}
}

// retry makes a host retry up to n requests, and returns how many it may.
func (f *fleet) retry(i, n int, delay time.Duration) int {
	a := f.serving(i)
	for got := range n {
		if a == nil || !a.Spend(retrybudget.Retry{Service: service}, f.now) {
			return min(got, n)
		}
		f.arrivals = append(f.arrivals, f.now+delay)
	}
	return n
}

// fate is what happens to the answer to a question.
type fate int

const (
	fateDelivered fate = iota
	fateLost
	// fateTwice delivers the answer twice, and fateAskedTwice the question.
	fateTwice
	fateAskedTwice
	// fateLate delivers the answer after a second, and fateStale after its tokens have
	// expired.
	fateLate
	fateStale
	fates
)

// borrow makes a host ask another one.
func (f *fleet) borrow(from, to int, want float64, how fate) {
	a, b := f.serving(from), f.serving(to)
	if a == nil || b == nil || from == to || f.hosts[from].side != f.hosts[to].side {
		return
	}
	q := a.Ask(service, want, f.now)
	loan := retrybudget.Loan{ID: q.ID, Granted: min(want, b.State(service, f.now).Own/2)}
	if f.fault != faultUncharged {
		loan = b.Lend(q, f.now)
	}
	switch how {
	case fateLost:
	case fateLate:
		f.answers = append(f.answers, answer{a, loan, f.now + time.Second})
	case fateStale:
		f.answers = append(f.answers, answer{a, loan, f.now + 3*time.Second})
	case fateAskedTwice:
		again := b.Lend(q, f.now)
		a.Credit(loan, f.now)
		a.Credit(again, f.now)
	case fateTwice:
		a.Credit(loan, f.now)
		if f.fault == faultDoubleCredit {
			loan.ID = a.Ask(service, want, f.now).ID
		}
		a.Credit(loan, f.now)
	default:
		a.Credit(loan, f.now)
	}
}

// check returns the first window in which the rule does not hold. It looks at each time at
// which the numbers of a window change, and just before.
func (f *fleet) check() error {
	slices.Sort(f.requests)
	slices.Sort(f.arrivals)
	var ends []time.Duration
	for _, at := range f.arrivals {
		ends = append(ends, at, at+window-1)
	}
	for _, at := range f.requests {
		for _, d := range []time.Duration{window, window * 3 / 2, 2 * window} {
			ends = append(ends, at+d-1, at+d)
		}
	}
	for _, t := range ends {
		got := countIn(f.arrivals, t-window, t)
		r := max(countIn(f.requests, t-window, t), countIn(f.requests, t-window*3/2, t-window/2), countIn(f.requests, t-2*window, t-window))
		if allowed := f.opts.Ratio*float64(r) + f.opts.Extra; float64(got) > allowed+1e-6 {
			return fmt.Errorf("got %d retries in the window to %v for %d requests, want at most %.2f", got, t, r, allowed)
		}
	}
	return nil
}

// countIn returns the number of sorted times after from and up to to.
func countIn(times []time.Duration, from, to time.Duration) int {
	after := func(t time.Duration) int { return sort.Search(len(times), func(i int) bool { return times[i] > t }) }
	return after(to) - after(from)
}
