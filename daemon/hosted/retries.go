package hosted

import (
	"context"

	"github.com/samber/lo"

	"bulrushshed/retrybudget"
)

// lenders provides the other members of the group as the hosts that lend tokens of the
// retry budget.
type lenders struct{ host *Host }

var _ retrybudget.Lenders = lenders{}

// Lenders implements retrybudget.Lenders.
func (l lenders) Lenders() []retrybudget.Lender {
	return lo.FilterMap(l.host.group.members(), func(p Peer, _ int) (retrybudget.Lender, bool) {
		return retrybudget.Lender{Address: p.PeerAddress, Near: p.FailureDomain == l.host.cfg.FailureDomain}, p.Address != l.host.cfg.CallerAddress
	})
}

// Borrow implements retrybudget.Lenders.
func (l lenders) Borrow(ctx context.Context, address string, q retrybudget.Question) (retrybudget.Loan, error) {
	return l.host.feed.node.Borrow(ctx, address, q)
}
