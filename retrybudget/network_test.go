package retrybudget_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"bulrushshed/retrybudget"
)

var errGone = errors.New("host does not answer")

// network connects the budgets of hosts in one process. Hosts with an even number are in
// one failure domain, the others in another.
type network struct {
	budgets  []*retrybudget.Budget
	accounts []*retrybudget.Accounts
	epoch    time.Time

	mu sync.Mutex
	// silent has the hosts that do not answer, and old those of a build without loans.
	silent, old map[string]bool
	// questions counts the questions of each host.
	questions map[int]int
}

// CountTokens implements retrybudget.Counter.
func (*network) CountTokens(string, string, float64) {}

func (n *network) clock() time.Duration { return time.Since(n.epoch) + time.Hour }

// newNetwork returns the budgets of hosts that have just started.
func newNetwork(hosts int, opts retrybudget.Options) *network {
	n := &network{epoch: time.Now(), silent: map[string]bool{}, old: map[string]bool{}, questions: map[int]int{}}
	opts.Window = window
	for i := range hosts {
		opts.Self = address(i)
		a := retrybudget.NewAccounts(opts)
		n.accounts = append(n.accounts, a)
		n.budgets = append(n.budgets, retrybudget.NewBudget(a, lenders{n, i}, n.clock, n, slog.New(slog.DiscardHandler)))
	}
	return n
}

// lenders are the other hosts of one host.
type lenders struct {
	network *network
	self    int
}

func (l lenders) Lenders() []retrybudget.Lender {
	var all []retrybudget.Lender
	for i := range l.network.budgets {
		if i != l.self {
			all = append(all, retrybudget.Lender{Address: address(i), Near: i%2 == l.self%2})
		}
	}
	return all
}

func (l lenders) Borrow(ctx context.Context, to string, q retrybudget.Question) (retrybudget.Loan, error) {
	l.network.mu.Lock()
	l.network.questions[l.self]++
	silent, old := l.network.silent[to], l.network.old[to]
	l.network.mu.Unlock()
	switch {
	case old:
		return retrybudget.Loan{}, errGone
	case silent:
		<-ctx.Done()
		return retrybudget.Loan{}, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	for i, b := range l.network.budgets {
		if address(i) == to {
			return b.Lend(q), nil
		}
	}
	return retrybudget.Loan{}, errGone
}

// run lets the hosts run for a while, each with a number of requests per second.
func (n *network) run(d time.Duration, rate int) {
	var all []string
	for i := range n.budgets {
		all = append(all, address(i))
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		for i, a := range n.accounts {
			a.SetMembers(all, n.clock())
			a.ConfirmMember(n.clock())
			n.record(i, rate/10)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (n *network) record(i, requests int) {
	for range requests {
		n.budgets[i].RecordRequest(service)
	}
}

// burst makes a host retry requests at once, and returns how many it may.
func (n *network) burst(i, retries int, r retrybudget.Retry) int {
	var allowed atomic.Int64
	var all sync.WaitGroup
	r.Service = service
	for range retries {
		all.Go(func() {
			if n.budgets[i].AllowRetry(context.Background(), r).Allowed {
				allowed.Add(1)
			}
		})
	}
	all.Wait()
	return int(allowed.Load())
}
