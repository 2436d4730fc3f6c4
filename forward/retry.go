package forward

import (
	"context"

	"bulrushshed/retrybudget"
)

// RetryBudget limits the sends beyond the first of each request, for all hosts together.
type RetryBudget interface {
	// RecordRequest counts a request of a caller.
	RecordRequest(service string)
	// AllowRetry decides whether a request may be sent once more. It may wait shortly,
	// unless the request does not wait.
	AllowRetry(ctx context.Context, r retrybudget.Retry) retrybudget.Decision
}

// allowRetry asks whether the request may be sent once more. begun is set if its caller
// already reads the answer, and noWait if it should not wait for the decision.
func (c *call) allowRetry(ctx context.Context, begun, noWait bool) bool {
	d := c.f.Budget.AllowRetry(ctx, retrybudget.Retry{Service: c.service.Name, Priority: c.priority, Begun: begun, NoWait: noWait})
	c.budget = d.State
	return d.Allowed
}

// budgetFields returns the log fields of the account that allowed no retry.
func (c *call) budgetFields() []any {
	return []any{"own", c.budget.Own, "borrowed", c.budget.Borrowed, "spent", c.budget.Spent, "hosts", c.budget.Hosts}
}
