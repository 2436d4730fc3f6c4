package retrybudget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/retrybudget"
)

// settled returns the accounts of a host that has run for long in a group, and the time.
func settled(opts retrybudget.Options, hosts int) (a *retrybudget.Accounts, now time.Duration) {
	opts.Window, opts.Self = window, address(0)
	a = retrybudget.NewAccounts(opts)
	now = time.Hour
	a.SetMembers(addresses(hosts), now-calm)
	a.ConfirmMember(now)
	return a, now
}

func addresses(hosts int) []string {
	var all []string
	for i := range hosts {
		all = append(all, address(i))
	}
	return all
}

// spendAll returns the number of tokens that a host can use.
func spendAll(a *retrybudget.Accounts, r retrybudget.Retry, now time.Duration) int {
	r.Service = service
	for got := range 10000 {
		if !a.Spend(r, now) {
			return got
		}
	}
	return 10000
}

// Requests count 0.15 in the window in which they arrive, and 1 in all once they are of the
// window before.
func TestRatioPart(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// from and to are the times before the retries at which 10 requests arrive every
		// quarter of a second.
		from, to time.Duration
		want     int
	}{
		{"none", 0, 0, 0},
		{"in this window", 10 * time.Second, 0, 60},
		{"in the first half of this window", 10 * time.Second, 5 * time.Second, 30},
		{"in the window before", 20 * time.Second, 10 * time.Second, 0},
		{"in both windows", 20 * time.Second, 0, 323},
		{"for long", time.Minute, 0, 323},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a, now := settled(retrybudget.Options{Ratio: 1}, 1)
			for before := c.from; before > c.to; before -= window / 40 {
				for range 10 {
					a.RecordRequest(service, now-before)
				}
			}
			is.New(t).Equal(spendAll(a, retrybudget.Retry{}, now), c.want)
		})
	}
}

// Tokens come back after a window, and a bit later than they were used.
func TestTokensComeBackAfterAWindow(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a, now := settled(retrybudget.Options{Extra: 100}, 4)
	is.Equal(spendAll(a, retrybudget.Retry{}, now), 20)
	a.ConfirmMember(now + window)
	is.Equal(spendAll(a, retrybudget.Retry{}, now+window), 0)
	a.ConfirmMember(now + window*11/10)
	is.Equal(spendAll(a, retrybudget.Retry{}, now+window*11/10), 20)
}

func TestShareOfTheExtraPart(t *testing.T) {
	t.Parallel()
	const start = time.Hour
	for _, c := range []struct {
		name string
		// run brings the accounts of a host that has just started to the time at which
		// their tokens are counted, and returns it.
		run  func(a *retrybudget.Accounts) time.Duration
		want int
	}{
		{"no members known", func(a *retrybudget.Accounts) time.Duration {
			a.ConfirmMember(start + time.Minute)
			return start + time.Minute
		}, 0},
		{"never a member", func(a *retrybudget.Accounts) time.Duration {
			a.SetMembers(addresses(4), start)
			return start + time.Minute
		}, 0},
		{"lists of members may be partial", func(a *retrybudget.Accounts) time.Duration {
			a.SetMembers(addresses(4), start)
			a.ConfirmMember(start + 2900*time.Millisecond)
			return start + 2900*time.Millisecond
		}, 0},
		{"half a window later", func(a *retrybudget.Accounts) time.Duration {
			a.SetMembers(addresses(4), start)
			a.ConfirmMember(start + 8*time.Second)
			return start + 8*time.Second
		}, 7},
		{"long known", longKnown(addresses(4), 0), 80},
		{"alone", longKnown(addresses(1), 0), 320},
		{"others only", longKnown([]string{address(1), address(2), address(3)}, 0), 80},
		{"empty list", longKnown(nil, 0), 320},
		{"not confirmed lately", longKnown(addresses(4), 4*time.Second), 0},
		{"a member again soon", func(a *retrybudget.Accounts) time.Duration {
			now := longKnown(addresses(4), 0)(a)
			a.ConfirmMember(now + 20*time.Second)
			return now + 20*time.Second
		}, 80},
		{"a member again after long", func(a *retrybudget.Accounts) time.Duration {
			now := longKnown(addresses(4), 0)(a)
			for _, d := range []time.Duration{40 * time.Second, 48 * time.Second} {
				a.ConfirmMember(now + d)
			}
			return now + 48*time.Second
		}, 7},
		{"others have left", func(a *retrybudget.Accounts) time.Duration {
			now := longKnown(addresses(4), 0)(a)
			return leave(a, now, 59*time.Second)
		}, 80},
		{"others have left long ago", func(a *retrybudget.Accounts) time.Duration {
			now := longKnown(addresses(4), 0)(a)
			return leave(a, now, 62*time.Second)
		}, 320},
		{"others are replaced", func(a *retrybudget.Accounts) time.Duration {
			now := longKnown(addresses(4), 0)(a)
			a.SetMembers([]string{address(0), "b", "c", "d"}, now)
			return now
		}, 45},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a := retrybudget.NewAccounts(retrybudget.Options{Extra: 400, Window: window, Self: address(0)})
			now := c.run(a)
			is.New(t).Equal(spendAll(a, retrybudget.Retry{}, now), c.want)
		})
	}
}

// longKnown returns a run with the same members for a minute, the last confirmed some time
// before its end.
func longKnown(members []string, unconfirmed time.Duration) func(a *retrybudget.Accounts) time.Duration {
	return func(a *retrybudget.Accounts) time.Duration {
		now := 2 * time.Hour
		a.SetMembers(members, now-time.Minute)
		a.ConfirmMember(now - unconfirmed)
		return now
	}
}

// leave makes all other members leave, and returns the time some time later.
func leave(a *retrybudget.Accounts, now, d time.Duration) time.Duration {
	a.SetMembers(addresses(1), now)
	for end := now + d; now < end; now += time.Second {
		a.ConfirmMember(now)
	}
	return now
}

func TestLoans(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		extra float64
		want  float64
		lent  float64
	}{
		{"half of what there is", 100, 60, 40},
		{"as many as asked for", 100, 7, 7},
		{"the only one", 1.5, 5, 1},
		{"a fraction", 0.5, 5, 0.4},
		{"nothing", 0, 5, 0},
		{"nothing asked for", 100, 0, 0},
		{"a negative number", 100, -5, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			lender, now := settled(retrybudget.Options{Extra: c.extra}, 1)
			l := lender.Lend(retrybudget.Question{ID: 7, Service: service, Want: c.want}, now)
			is.Equal(l.ID, uint64(7))
			is.Equal(fmt.Sprintf("%.3f", l.Granted), fmt.Sprintf("%.3f", c.lent))
			// What is lent is charged at once, and for as long as the borrower may use it.
			for _, d := range []time.Duration{0, window, window * 12 / 10} {
				lender.ConfirmMember(now + d)
				left := lender.State(service, now+d).Own
				is.Equal(fmt.Sprintf("%.3f", left), fmt.Sprintf("%.3f", 0.8*c.extra-c.lent))
			}
		})
	}
}

func TestBorrowedTokens(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// credit credits answers to a question, which asked for 5 tokens.
		credit func(a *retrybudget.Accounts, q retrybudget.Question, now time.Duration)
		after  time.Duration
		want   int
	}{
		{"credited", credit(5), 0, 5},
		{"used just before they expire", credit(5), 1900 * time.Millisecond, 5},
		{"expired", credit(5), 2 * time.Second, 0},
		{"more than asked for", credit(50), 0, 5},
		{"negative", credit(-5), 0, 0},
		{"two answers", func(a *retrybudget.Accounts, q retrybudget.Question, now time.Duration) {
			credit(3)(a, q, now)
			credit(3)(a, q, now)
		}, 0, 3},
		{"answer to no question", func(a *retrybudget.Accounts, q retrybudget.Question, now time.Duration) {
			a.Credit(retrybudget.Loan{ID: q.ID + 1, Granted: 5}, now)
		}, 0, 0},
		{"late answer", func(a *retrybudget.Accounts, q retrybudget.Question, now time.Duration) {
			credit(5)(a, q, now+3*time.Second)
		}, 3 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a, now := settled(retrybudget.Options{}, 1)
			c.credit(a, a.Ask(service, 5, now), now)
			is.New(t).Equal(spendAll(a, retrybudget.Retry{}, now+c.after), c.want)
		})
	}
}

func credit(granted float64) func(a *retrybudget.Accounts, q retrybudget.Question, now time.Duration) {
	return func(a *retrybudget.Accounts, q retrybudget.Question, now time.Duration) {
		a.Credit(retrybudget.Loan{ID: q.ID, Granted: granted}, now)
	}
}

// A less urgent retry leaves as many tokens as more urgent ones have used lately, but at
// most half of all.
func TestTokensAreReservedForUrgentRetries(t *testing.T) {
	t.Parallel()
	urgent := retrybudget.Retry{Priority: 1}
	for _, c := range []struct {
		name  string
		used  int
		retry retrybudget.Retry
		after time.Duration
		want  int
	}{
		{"none used", 0, retrybudget.Retry{Priority: 2}, 0, 80},
		{"some used", 10, retrybudget.Retry{Priority: 2}, 0, 60},
		{"many used", 30, retrybudget.Retry{Priority: 2}, 0, 20},
		{"most used", 60, retrybudget.Retry{Priority: 2}, 0, 0},
		{"as urgent", 60, urgent, 0, 20},
		{"more urgent", 60, retrybudget.Retry{}, 0, 20},
		{"its caller reads the answer", 60, retrybudget.Retry{Priority: 2, Begun: true}, 0, 20},
		{"used long ago", 60, retrybudget.Retry{Priority: 2}, 2 * time.Second, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			a, now := settled(retrybudget.Options{Extra: 100}, 1)
			r := urgent
			r.Service = service
			for range c.used {
				is.True(a.Spend(r, now))
			}
			a.ConfirmMember(now + c.after)
			is.Equal(spendAll(a, c.retry, now+c.after), c.want)
		})
	}
}

// Accounts are bounded, and those that are not used make room.
func TestAccountsAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a, now := settled(retrybudget.Options{Ratio: 1, Extra: 10}, 1)
	for i := range 5000 {
		a.RecordRequest(fmt.Sprint(i), now)
	}
	is.Equal(spendAll(a, retrybudget.Retry{}, now), 0)
	is.True(a.Spend(retrybudget.Retry{Service: "0"}, now))
	now += 3 * window
	a.ConfirmMember(now)
	is.Equal(spendAll(a, retrybudget.Retry{}, now), 8)
}

// A host that was suspended has no more than one that was not.
func TestTokensAfterAFreeze(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a, now := settled(retrybudget.Options{Ratio: 1, Extra: 100}, 1)
	for range 100 {
		a.RecordRequest(service, now)
	}
	a.Credit(retrybudget.Loan{ID: a.Ask(service, 5, now).ID, Granted: 5}, now)
	is.Equal(spendAll(a, retrybudget.Retry{}, now), 100)
	now += time.Minute
	is.Equal(spendAll(a, retrybudget.Retry{}, now), 0) // it does not know yet whether it is a member
	a.ConfirmMember(now)
	is.Equal(spendAll(a, retrybudget.Retry{}, now), 0)
}
