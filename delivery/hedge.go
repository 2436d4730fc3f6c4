package delivery

import (
	"context"
	"time"

	"bulrushshed/outcome"
)

// sendResult is the result of one send of a hedged call.
type sendResult struct {
	answer  outcome.Answer
	err     error
	latency time.Duration
}

func (s sendResult) succeeded() bool { return s.err == nil && s.answer.Status < minServerErrorStatus }

// sendHedged answers an idempotent call. After a failed send, or once a send takes
// longer than 95% of the class's answers, it sends the call to another replica. The
// first answer with a status below 500 wins, and the other sends are cancelled.
// Retries and hedges both spend the class's retry budget.
func (d *Deliverer) sendHedged(ctx context.Context, r Request) (outcome.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := d.classStates.get(r.Class.Name)
	x := &hedgedCall{d: d, r: r, tried: map[string]bool{}, results: make(chan sendResult, d.opts.MaxAttempts)}
	if err := x.launch(ctx); err != nil {
		return outcome.Answer{}, err
	}
	hedgeTimer := time.NewTimer(c.hedgeDelay.current())
	defer hedgeTimer.Stop()
	for x.running > 0 {
		select {
		case s := <-x.results:
			x.running--
			if s.succeeded() {
				c.hedgeDelay.observe(s.latency)
				c.budget.deposit()
				return s.answer, nil
			}
			x.recordFailure(s)
			if x.launched < d.opts.MaxAttempts && ctx.Err() == nil && c.budget.withdraw() && x.launch(ctx) == nil {
				d.Counter.Retried(r.Class.Name)
			}
		case <-hedgeTimer.C:
			if x.launched < d.opts.MaxAttempts && c.budget.withdraw() && x.launch(ctx) == nil {
				d.Counter.Hedged(r.Class.Name)
			}
		}
	}
	if x.failedAnswer != nil {
		return *x.failedAnswer, nil
	}
	return outcome.Answer{}, x.lastErr
}

// hedgedCall is the state of one hedged call. The results channel has room for
// the results of all attempts, so that no send blocks.
type hedgedCall struct {
	d        *Deliverer
	r        Request
	tried    map[string]bool
	results  chan sendResult
	launched int
	running  int
	// failedAnswer is the last answer with a server error status, and lastErr
	// the error that leastCertain selects from all sends.
	failedAnswer *outcome.Answer
	lastErr      error
}

// launch sends the call to a replica that was not tried yet. It returns an error if
// there is none.
func (x *hedgedCall) launch(ctx context.Context) error {
	replica, release, err := x.d.pickReplica(ctx, x.r, x.tried)
	if err != nil {
		return err
	}
	x.tried[replica.Endpoint] = true
	x.launched++
	x.running++
	attempt := x.launched
	go func() {
		defer release()
		start := time.Now()
		answer, err := x.d.sendTo(ctx, x.r, attempt, replica)
		x.results <- sendResult{answer: answer, err: err, latency: time.Since(start)}
	}()
	return nil
}

func (x *hedgedCall) recordFailure(s sendResult) {
	if s.err == nil {
		x.failedAnswer = &s.answer
		return
	}
	x.lastErr = leastCertain(x.lastErr, s.err)
}
