package delivery

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushshed/claim"
	"bulrushshed/outcome"
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
	// Deadline is when the caller stops waiting, by the clock of the host
	// that holds the request.
	Deadline time.Time `json:"-"`
}

// fingerprint tells apart two calls that came with one key.
func (r Request) fingerprint() uint64 {
	return xxhash.Sum64String(r.Customer + "\x00" + r.Method + "\x00" + r.Path + "\x00" + string(r.Body))
}

// Services sends calls.
type Services interface {
	// Send makes a call once; ending ctx gives it up.
	Send(ctx context.Context, address string, call service.Call) (outcome.Answer, error)
}

// Replica is one endpoint of a service.
type Replica struct {
	Endpoint    string
	Address     string
	Incarnation int64
	// HonorsKeys is set if the endpoint runs the call of a key only once,
	// however often it is sent there.
	HonorsKeys bool
}

// Replicas picks endpoints.
type Replicas interface {
	// Pick returns a replica of the service that is not in tried, and counts
	// the call on it until release is called.
	Pick(service string, tried map[string]bool) (r Replica, release func(), ok bool)
	// Suspect tells that a replica failed a call, and Leaving that it said
	// that it takes no new work.
	Suspect(endpoint string, incarnation int64)
	Leaving(endpoint string, incarnation int64)
}

// Homes passes calls on to the home of their key.
type Homes interface {
	// Forward returns the home's answer, or an *outcome.Error.
	Forward(ctx context.Context, home claim.Home, r Request) (outcome.Answer, error)
}

// Past knows what became of keys whose homes have gone.
type Past interface {
	// Look returns the result of a key's call; ok is false if nobody can
	// tell.
	Look(key claim.Key) (r claim.Result, ok bool)
}

// Journal notes results where other hosts find them later.
type Journal interface {
	Add(key string, r claim.Result)
}

// Gate admits calls.
type Gate interface {
	// Enter waits for a place, which leave gives back, once; the error is an
	// *outcome.Error of kind NotRun.
	Enter(ctx context.Context, r Request) (leave func(served bool), err error)
}

// Counter counts what went other than planned.
type Counter interface {
	Retried(class string)
	Hedged(class string)
}

// Options bound a deliverer.
type Options struct {
	// Self is this host in its present incarnation.
	Self claim.Home
	// Attempts is the number of replicas that one call may be tried at.
	Attempts int
	// PickWait bounds the wait for a replica when none takes new work.
	PickWait time.Duration
}

// Deliverer answers calls; it is safe for concurrent use.
type Deliverer struct {
	Dependencies
	opts    Options
	classes classes
}

// Dependencies are what a deliverer works with.
type Dependencies struct {
	Services Services
	Replicas Replicas
	Homes    Homes
	Table    *claim.Table
	Journal  Journal
	Past     Past
	Gate     Gate
	Counter  Counter
	Log      *slog.Logger
}

// New returns a deliverer.
func New(o Options, p Dependencies) *Deliverer {
	return &Deliverer{opts: o, Dependencies: p, classes: classes{all: map[string]*class{}}}
}

// Deliver answers a call. The error is an *outcome.Error.
func (d *Deliverer) Deliver(ctx context.Context, r Request) (outcome.Answer, error) {
	if r.Class.Idempotent {
		return d.idempotent(ctx, r)
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
		return d.elsewhere(ctx, key, r)
	}
	return d.AtHome(ctx, key, r)
}

func (d *Deliverer) idempotent(ctx context.Context, r Request) (outcome.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	leave, err := d.Gate.Enter(ctx, r)
	if err != nil {
		return outcome.Answer{}, err
	}
	answer, err := d.race(ctx, r)
	leave(err == nil)
	return answer, err
}

// elsewhere passes a call on to the home of its key. If that does not answer,
// only the home's journal can tell what became of the call.
func (d *Deliverer) elsewhere(ctx context.Context, key claim.Key, r Request) (outcome.Answer, error) {
	answer, err := d.Homes.Forward(ctx, key.Home, r)
	if err == nil {
		return answer, nil
	}
	switch asOutcome(err).Cause {
	case outcome.CauseHomeGone, outcome.CauseHomeSilent:
		return d.lookBack(key, err)
	default:
		// This is the home's own word.
		return answer, err
	}
}

// lookBack returns what the log knows of a key, or else the error.
func (d *Deliverer) lookBack(key claim.Key, err error) (outcome.Answer, error) {
	result, ok := d.Past.Look(key)
	switch {
	case !ok:
		return outcome.Answer{}, err
	case result.Err != nil:
		return outcome.Answer{}, result.Err
	}
	return result.Answer, nil
}

// AtHome answers a non-idempotent call whose key names this host.
func (d *Deliverer) AtHome(ctx context.Context, key claim.Key, r Request) (outcome.Answer, error) {
	if key.Home != d.opts.Self {
		return d.lookBack(key, unknown(outcome.CauseHomeGone, "the key's home has restarted since it issued the key"))
	}
	verdict, c := d.Table.Begin(r.Key, key.Issued, r.fingerprint(), time.Now())
	switch verdict {
	case claim.VerdictRun:
		return d.runClaimed(ctx, c, r)
	case claim.VerdictWait, claim.VerdictReplay:
		return d.await(ctx, c, r)
	case claim.VerdictReused:
		return outcome.Answer{}, &outcome.Error{
			Op: "claim", Kind: outcome.Invalid, Cause: outcome.CauseKeyReused, Field: service.HeaderKey,
			Message: "got a key that was first used for another call, want a key of its own for each call",
		}
	case claim.VerdictFull:
		// Without room to note the refusal, an older copy of the call could
		// still run after it.
		return outcome.Answer{}, unknown(outcome.CauseBusy, "too many keys in use")
	case claim.VerdictClosed:
		return outcome.Answer{}, &outcome.Error{
			Op: "claim", Kind: outcome.NotRun, Cause: outcome.CauseStopping, Message: "the key's home is stopping",
		}
	case claim.VerdictExpired:
		return outcome.Answer{}, unknown(outcome.CauseKeyExpired, "the key is too old to tell whether its call ran")
	}
	panic("delivery: got verdict " + string(verdict))
}

// runClaimed runs the call to its end even if its caller leaves, so that a
// repeat finds what became of it.
func (d *Deliverer) runClaimed(ctx context.Context, c *claim.Claimed, r Request) (outcome.Answer, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	answer, err := d.admitted(ctx, r)
	result := claim.Result{Answer: answer, Err: asOutcome(err)}
	d.Journal.Add(r.Key, result)
	d.Table.Finish(c, result)
	return answer, err
}

func (d *Deliverer) admitted(ctx context.Context, r Request) (outcome.Answer, error) {
	leave, err := d.Gate.Enter(ctx, r)
	if err != nil {
		return outcome.Answer{}, err
	}
	answer, err := d.try(ctx, r)
	leave(err == nil)
	return answer, err
}

func (d *Deliverer) await(ctx context.Context, c *claim.Claimed, r Request) (outcome.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	select {
	case <-c.Done():
	case <-ctx.Done():
		return outcome.Answer{}, unknown(outcome.CauseDeadline, "the first use of the key is still running")
	}
	result := c.Result()
	if result.Err != nil {
		return outcome.Answer{}, result.Err
	}
	return result.Answer, nil
}

// firstServerError is the lowest status by which a service says that it
// failed.
const firstServerError = 500

// try sends a non-idempotent call to one replica after another, for as long as
// the last one surely did not run it.
func (d *Deliverer) try(ctx context.Context, r Request) (outcome.Answer, error) {
	last := noReplica(r.Class.Service)
	tried := map[string]bool{}
	for n := range d.opts.Attempts {
		replica, release, ok := d.pick(ctx, r, tried)
		if !ok {
			break
		}
		tried[replica.Endpoint] = true
		answer, err := d.sendTo(ctx, r, n+1, replica)
		if err != nil && replica.HonorsKeys {
			answer, err = d.insist(ctx, r, replica, err)
		}
		release()
		if err == nil {
			return answer, nil
		}
		last = err
		if !notRun(err) || ctx.Err() != nil {
			break
		}
		d.Counter.Retried(r.Class.Name)
	}
	return outcome.Answer{}, last
}

// pickPause is the time between two looks for a replica.
const pickPause = 20 * time.Millisecond

// pick waits for a replica that takes new work, but not if some were tried:
// then their failures are an answer of a kind. It leaves half of what is left
// until the deadline for the call itself.
func (d *Deliverer) pick(ctx context.Context, r Request, tried map[string]bool) (Replica, func(), bool) {
	now := time.Now()
	end := now.Add(min(d.opts.PickWait, r.Deadline.Sub(now)/2))
	for {
		replica, release, ok := d.Replicas.Pick(r.Class.Service, tried)
		if ok || len(tried) > 0 || ctx.Err() != nil || !time.Now().Before(end) {
			return replica, release, ok
		}
		time.Sleep(pickPause)
	}
}

// insistPause is the wait before a key is sent to its endpoint again.
const insistPause = 50 * time.Millisecond

// insist sends a key again to the endpoint that honors it, until it answers or
// the attempts are used up. A refusal of a repeat says nothing of the first.
func (d *Deliverer) insist(ctx context.Context, r Request, to Replica, first error) (outcome.Answer, error) {
	for n := 1; n < d.opts.Attempts && !notRun(first) && ctx.Err() == nil; n++ {
		time.Sleep(insistPause)
		answer, err := d.sendTo(ctx, r, n+1, to)
		if err == nil {
			return answer, nil
		}
		d.Counter.Retried(r.Class.Name)
	}
	return outcome.Answer{}, first
}

func (d *Deliverer) sendTo(ctx context.Context, r Request, attempt int, to Replica) (outcome.Answer, error) {
	// A host may have been paused up to here, so the deadline is checked
	// right before the first byte.
	left := time.Until(r.Deadline)
	if left <= 0 || ctx.Err() != nil {
		return outcome.Answer{}, &outcome.Error{
			Op: "send", Kind: outcome.NotRun, Cause: outcome.CauseDeadline, Message: "the deadline passed before the call was sent",
		}
	}
	answer, err := d.Services.Send(ctx, to.Address, service.Call{
		RequestID: r.ID, Attempt: attempt, Key: r.Key, Method: r.Method, Path: r.Path,
		ContentType: r.ContentType, Body: r.Body, Timeout: left,
	})
	if o := asOutcome(err); o != nil {
		o.Attempt = attempt
		err = o
	}
	// The loser of a race is not to blame.
	if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		d.Log.Warn("delivery: call failed", "request_id", r.ID, "attempt", attempt,
			"endpoint", to.Endpoint, "cause", err.Error())
		d.blame(to, err)
	}
	return answer, err
}

func (d *Deliverer) blame(to Replica, err error) {
	if asOutcome(err).Cause == outcome.CauseLeaving {
		d.Replicas.Leaving(to.Endpoint, to.Incarnation)
		return
	}
	d.Replicas.Suspect(to.Endpoint, to.Incarnation)
}

// worst keeps the error that promises less: once a call may have run, a later
// refusal does not change that.
func worst(last, err error) error {
	if last != nil && !notRun(last) {
		return last
	}
	return err
}

func notRun(err error) bool {
	e := asOutcome(err)
	return e != nil && e.Kind == outcome.NotRun
}

func asOutcome(err error) *outcome.Error {
	if err == nil {
		return nil
	}
	var e *outcome.Error
	if errors.As(err, &e) {
		return e
	}
	return unknown(outcome.CauseNoAnswer, err.Error())
}

func unknown(cause outcome.Cause, message string) *outcome.Error {
	return &outcome.Error{Op: "deliver", Kind: outcome.Unknown, Cause: cause, Message: message}
}
