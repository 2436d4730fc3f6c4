package delivery

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushshed/claim"
	"bulrushshed/outcome"
	"bulrushshed/quarantine"
	"bulrushshed/rule"
	"bulrushshed/service"
)

// Request is one call of a plain service.
type Request struct {
	ID          string     `json:"id"`
	Customer    string     `json:"customer"`
	Class       rule.Class `json:"class"`
	Method      string     `json:"method"`
	Path        string     `json:"path"`
	Key         string     `json:"key"`
	ContentType string     `json:"content_type"`
	Body        []byte     `json:"body"`
	// Deadline is when the caller stops waiting, by the clock of this host.
	Deadline time.Time `json:"-"`
}

// fingerprint detects that two different calls use the same key.
func (r Request) fingerprint() uint64 {
	return xxhash.Sum64String(r.Customer + "\x00" + r.Method + "\x00" + r.Path + "\x00" + string(r.Body))
}

// features returns all by which the call may crash replicas.
func (r Request) features() []quarantine.Feature {
	c := quarantine.Call{Customer: r.Customer, Method: r.Method, Target: r.Class.Service + r.Path, Body: r.Body}
	return quarantine.Features(nil, c.Fingerprint())
}

// Options configures a Deliverer.
type Options struct {
	// Self is this host in its current incarnation.
	Self claim.Home
	// MaxAttempts is the maximum number of attempts for one call.
	MaxAttempts int
	// PickWait bounds the wait for a replica when none accepts new work.
	PickWait time.Duration
}

// Deliverer answers calls. It is safe for concurrent use.
type Deliverer struct {
	Dependencies
	opts        Options
	classStates classStates
}

// New returns a Deliverer.
func New(o Options, deps Dependencies) *Deliverer {
	return &Deliverer{opts: o, Dependencies: deps, classStates: classStates{byName: map[string]*classState{}}}
}

// Deliver answers a call. The error is an *outcome.Error.
func (d *Deliverer) Deliver(ctx context.Context, r Request) (outcome.Answer, error) {
	if r.Class.Idempotent {
		return d.deliverIdempotent(ctx, r)
	}
	if r.Key == "" {
		return outcome.Answer{}, &outcome.Error{
			Op: "deliver", Kind: outcome.Invalid, Cause: outcome.CauseKeyMissing, Field: service.HeaderKey,
			Message: "a non-idempotent call needs a key; GET /v1/entries issues them",
		}
	}
	key, ok := claim.ParseKey(r.Key)
	if !ok {
		return outcome.Answer{}, &outcome.Error{
			Op: "deliver", Kind: outcome.Invalid, Cause: outcome.CauseKeyMissing, Field: service.HeaderKey,
			Message: "got a key that no host issued, want one from GET /v1/entries",
		}
	}
	if key.Home.Host != d.opts.Self.Host {
		return d.forwardToHome(ctx, key, r)
	}
	return d.DeliverAtHome(ctx, key, r)
}

func (d *Deliverer) deliverIdempotent(ctx context.Context, r Request) (outcome.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	release, err := d.Gate.Acquire(ctx, r)
	if err != nil {
		return outcome.Answer{}, err
	}
	answer, err := d.sendHedged(ctx, r)
	release(err == nil)
	return answer, err
}

// forwardToHome forwards a call to the home of its key. If the home does not
// answer, only its journal in the log can tell the result of the call.
func (d *Deliverer) forwardToHome(ctx context.Context, key claim.Key, r Request) (outcome.Answer, error) {
	answer, err := d.HomeClient.Forward(ctx, key.Home, r)
	if err == nil {
		return answer, nil
	}
	switch toOutcomeError(err).Cause {
	case outcome.CauseHomeGone, outcome.CauseHomeSilent:
		return d.recordedOutcome(key, err)
	default:
		// The home itself returned this error.
		return answer, err
	}
}

// recordedOutcome returns the result of a key that is recorded in the log, or
// else err.
func (d *Deliverer) recordedOutcome(key claim.Key, err error) (outcome.Answer, error) {
	result, ok := d.Outcomes.Lookup(key)
	switch {
	case !ok:
		return outcome.Answer{}, err
	case result.Err != nil:
		return outcome.Answer{}, result.Err
	}
	return result.Answer, nil
}

// DeliverAtHome answers a non-idempotent call whose key names this host.
func (d *Deliverer) DeliverAtHome(ctx context.Context, key claim.Key, r Request) (outcome.Answer, error) {
	if key.Home != d.opts.Self {
		return d.recordedOutcome(key, unknownError(outcome.CauseHomeGone, "the key's home has restarted since it issued the key"))
	}
	verdict, c := d.Table.Begin(r.Key, key.Issued, r.fingerprint(), time.Now())
	switch verdict {
	case claim.VerdictRun:
		return d.runClaimed(ctx, c, r)
	case claim.VerdictWait, claim.VerdictReplay:
		return d.awaitResult(ctx, c, r)
	case claim.VerdictReused:
		return outcome.Answer{}, &outcome.Error{
			Op: "claim", Kind: outcome.Invalid, Cause: outcome.CauseKeyReused, Field: service.HeaderKey,
			Message: "got a key that was first used for another call, want a key of its own for each call",
		}
	case claim.VerdictFull:
		// The outcome is not NotRun: the table has no room to record that the call
		// was rejected, so an older copy of it that arrives later could still run.
		return outcome.Answer{}, unknownError(outcome.CauseBusy, "the key's home has reached its limit of keys in use")
	case claim.VerdictClosed:
		return outcome.Answer{}, &outcome.Error{
			Op: "claim", Kind: outcome.NotRun, Cause: outcome.CauseStopping, Message: "the key's home is shutting down",
		}
	case claim.VerdictExpired:
		return outcome.Answer{}, unknownError(outcome.CauseKeyExpired, "the key is too old to tell whether its call ran")
	}
	panic("delivery: unexpected verdict of the claim table: " + string(verdict))
}

// runClaimed runs the call to completion even if its caller disconnects, so that
// a repeat of the call finds its result.
func (d *Deliverer) runClaimed(ctx context.Context, c *claim.Claim, r Request) (outcome.Answer, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	answer, err := d.admitAndSend(ctx, r)
	result := claim.Result{Answer: answer, Err: toOutcomeError(err)}
	d.Journal.Add(r.Key, result)
	d.Table.Finish(c, result)
	return answer, err
}

func (d *Deliverer) admitAndSend(ctx context.Context, r Request) (outcome.Answer, error) {
	release, err := d.Gate.Acquire(ctx, r)
	if err != nil {
		return outcome.Answer{}, err
	}
	answer, err := d.sendNonIdempotent(ctx, r)
	release(err == nil)
	return answer, err
}

func (d *Deliverer) awaitResult(ctx context.Context, c *claim.Claim, r Request) (outcome.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	select {
	case <-c.Done():
	case <-ctx.Done():
		return outcome.Answer{}, unknownError(outcome.CauseDeadline, "the deadline passed while the first call with this key was still running")
	}
	result := c.Result()
	if result.Err != nil {
		return outcome.Answer{}, result.Err
	}
	return result.Answer, nil
}

// minServerErrorStatus is the lowest HTTP status of a server error.
const minServerErrorStatus = 500

// sendNonIdempotent sends a call to a replica, and to another one only if all
// earlier ones certainly did not run it.
func (d *Deliverer) sendNonIdempotent(ctx context.Context, r Request) (outcome.Answer, error) {
	last := noReplicaError(r.Class.Service)
	tried := map[string]bool{}
	for n := range d.opts.MaxAttempts {
		replica, release, err := d.pickReplica(ctx, r, tried)
		if err != nil {
			if n == 0 {
				last = err
			}
			break
		}
		tried[replica.Endpoint] = true
		var answer outcome.Answer
		answer, err = d.sendTo(ctx, r, n+1, replica)
		if err != nil && replica.HonorsKeys {
			answer, err = d.resendWithKey(ctx, r, replica, err)
		}
		release()
		if err == nil {
			return answer, nil
		}
		last = err
		if !isNotRun(err) || ctx.Err() != nil {
			break
		}
		d.Counter.Retried(r.Class.Name)
	}
	return outcome.Answer{}, last
}

// resendDelay is the wait before a key is sent to the same endpoint again.
const resendDelay = 50 * time.Millisecond

// resendWithKey sends a call again to the endpoint that honors its key, until it
// answers or no attempts are left. If no repeat is answered, it returns the error
// of the first attempt: the error of a repeat, even NotRun, says nothing about
// whether the first attempt ran.
func (d *Deliverer) resendWithKey(ctx context.Context, r Request, to Replica, first error) (outcome.Answer, error) {
	for n := 1; n < d.opts.MaxAttempts && !isNotRun(first) && ctx.Err() == nil; n++ {
		time.Sleep(resendDelay)
		if d.checkQuarantine(r) != nil {
			break
		}
		answer, err := d.sendTo(ctx, r, n+1, to)
		if err == nil {
			return answer, nil
		}
		d.Counter.Retried(r.Class.Name)
	}
	return outcome.Answer{}, first
}

func (d *Deliverer) sendTo(ctx context.Context, r Request, attempt int, to Replica) (outcome.Answer, error) {
	// This process may have been paused before this line, so the deadline is
	// checked immediately before the call is sent.
	remaining := time.Until(r.Deadline)
	if remaining <= 0 || ctx.Err() != nil {
		return outcome.Answer{}, &outcome.Error{
			Op: "send", Kind: outcome.NotRun, Cause: outcome.CauseDeadline, Message: "the deadline passed before the call was sent",
		}
	}
	sentAt := time.Now()
	answer, err := d.Services.Send(ctx, to.Address, service.Call{
		Replica: to.incarnation(), RequestID: r.ID, Attempt: attempt, Key: r.Key, Method: r.Method, Path: r.Path,
		ContentType: r.ContentType, Body: r.Body, Timeout: remaining,
	})
	if o := toOutcomeError(err); o != nil {
		o.Attempt = attempt
		err = o
	}
	d.observeEnd(ctx, r, to, sentAt, err)
	// A send that was cancelled because another one won is no failure of its
	// replica.
	if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		d.Log.Warn("delivery: attempt failed", "request_id", r.ID, "attempt", attempt,
			"endpoint", to.Endpoint, "cause", err.Error())
		d.reportFailure(to, err)
	}
	return answer, err
}

func (d *Deliverer) reportFailure(to Replica, err error) {
	if toOutcomeError(err).Cause == outcome.CauseLeaving {
		d.Replicas.MarkLeaving(to.Endpoint, to.Incarnation)
		return
	}
	d.Replicas.Suspect(to.Endpoint, to.Incarnation)
}

// leastCertain returns last if its attempt may have run, and else err: a NotRun
// error of a later attempt does not change that an earlier one may have run.
func leastCertain(last, err error) error {
	if last != nil && !isNotRun(last) {
		return last
	}
	return err
}

func isNotRun(err error) bool {
	e := toOutcomeError(err)
	return e != nil && e.Kind == outcome.NotRun
}

// toOutcomeError returns the *outcome.Error in the chain of err. An error without
// one says nothing about whether the call ran, so it becomes Unknown.
func toOutcomeError(err error) *outcome.Error {
	if err == nil {
		return nil
	}
	var e *outcome.Error
	if errors.As(err, &e) {
		return e
	}
	return unknownError(outcome.CauseNoAnswer, err.Error())
}

func unknownError(cause outcome.Cause, message string) *outcome.Error {
	return &outcome.Error{Op: "deliver", Kind: outcome.Unknown, Cause: cause, Message: message}
}
