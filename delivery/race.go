package delivery

import (
	"context"
	"time"

	"bulrushshed/outcome"
)

// sent is the end of one send of a race.
type sent struct {
	answer outcome.Answer
	err    error
	took   time.Duration
}

func (s sent) good() bool { return s.err == nil && s.answer.Status < firstServerError }

// race answers an idempotent call. A send that fails is followed by one to
// another replica, and one that is slower than nearly all others gets a second
// beside it; the first good answer wins, and the other send is cancelled. Both
// are within the class's budget.
func (d *Deliverer) race(ctx context.Context, r Request) (outcome.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := d.classes.of(r.Class.Name)
	x := &racing{d: d, r: r, tried: map[string]bool{}, ends: make(chan sent, d.opts.Attempts)}
	if !x.launch(ctx) {
		return outcome.Answer{}, noReplica(r.Class.Service)
	}
	late := time.NewTimer(c.hedge.delay())
	defer late.Stop()
	for x.running > 0 {
		select {
		case s := <-x.ends:
			x.running--
			if s.good() {
				c.hedge.observe(s.took)
				c.budget.earn()
				return s.answer, nil
			}
			x.note(s)
			if x.launched < d.opts.Attempts && ctx.Err() == nil && c.budget.spend() && x.launch(ctx) {
				d.Counter.Retried(r.Class.Name)
			}
		case <-late.C:
			if x.launched < d.opts.Attempts && c.budget.spend() && x.launch(ctx) {
				d.Counter.Hedged(r.Class.Name)
			}
		}
	}
	if x.failed != nil {
		return *x.failed, nil
	}
	return outcome.Answer{}, x.last
}

// racing is the state of one race; its sends report their ends on a channel
// with room for all.
type racing struct {
	d        *Deliverer
	r        Request
	tried    map[string]bool
	ends     chan sent
	launched int
	running  int
	// failed is an answer by which a service said that it failed, and last
	// the error that promises least.
	failed *outcome.Answer
	last   error
}

// launch sends the call to a replica that was not tried.
func (x *racing) launch(ctx context.Context) bool {
	replica, release, ok := x.d.pick(ctx, x.r, x.tried)
	if !ok {
		return false
	}
	x.tried[replica.Endpoint] = true
	x.launched++
	x.running++
	attempt := x.launched
	go func() {
		defer release()
		start := time.Now()
		answer, err := x.d.sendTo(ctx, x.r, attempt, replica)
		x.ends <- sent{answer: answer, err: err, took: time.Since(start)}
	}()
	return true
}

func (x *racing) note(s sent) {
	if s.err == nil {
		x.failed = &s.answer
		return
	}
	x.last = worst(x.last, s.err)
}

func noReplica(service string) error {
	return &outcome.Error{
		Op: "pick", Kind: outcome.NotRun, Cause: outcome.CauseNoEndpoint,
		Message: "no replica of " + service + " takes new work", RetryAfter: time.Second,
	}
}
