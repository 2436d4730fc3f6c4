package forward

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"bulrushshed/ingress"
	"bulrushshed/outcome"
	"bulrushshed/pipeline"
	"bulrushshed/replica"
)

const (
	// minRemaining is the time below which a request is not sent any more.
	minRemaining = 20 * time.Millisecond
	// minRetryAfter and later bound the spread of times at which refused callers come
	// back: minRetryAfter where another replica may serve them at once, later where a
	// place must come free first.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
	// otherHostRetryAfter is when a caller may come back that another host can serve at
	// once: this one lacks news, not replicas.
	otherHostRetryAfter = 20 * time.Millisecond
	// configWait is how long a request waits for the first configuration, and
	// startPoll the time between two looks.
	configWait         = 300 * time.Millisecond
	configPollInterval = 10 * time.Millisecond
	// maxUnreachable is how many replicas that can't be reached a request
	// passes over; they count for none of its attempts.
	maxUnreachable = 3
	// maxPlainBody bounds the answer of a plain service that is held until it
	// is whole.
	maxPlainBody = 256 << 10
	// minFailureStatus is the lowest status by which a replica says that it failed.
	minFailureStatus = http.StatusInternalServerError
)

// Counter counts ends of requests and decisions on the way.
type Counter interface {
	Answered(customer, class string, kind outcome.Kind, cause outcome.Cause, took time.Duration)
	FirstToken(customer, class string, took time.Duration)
	BetweenTokens(customer, class string, took time.Duration)
	Retried(class string)
	Resumed(cause string)
}

// Dependencies are what a forwarder works with.
type Dependencies struct {
	Tables   Tables
	Replicas *replica.List
	Picker   *replica.Picker
	Planner  *pipeline.Planner
	Pulse    *pipeline.ProgressTracker
	Upstream Upstream
	Budget   *Budget
	Counter  Counter
	Log      *slog.Logger
}

// Forwarder is safe for concurrent use.
type Forwarder struct {
	Dependencies
	checker *checker
}

// New returns a forwarder.
func New(deps Dependencies) *Forwarder {
	return &Forwarder{Dependencies: deps, checker: newChecker()}
}

// call is one request on its way.
type call struct {
	f    *Forwarder
	req  *Request
	rule *ingress.Rule
	// service is the one drawn for the request.
	service  *ingress.Service
	customer string
	priority int
	// deadline is when the caller, or the operator, stops waiting.
	deadline time.Time
	// sends counts the replicas that the request was sent to, and tried names
	// all that were chosen.
	sends int
	tried map[string]bool
	// mayHaveRun is set once a replica got the request and did not say that it
	// left it.
	mayHaveRun bool
}

// Do serves one request. ctx ends when the caller has left; the body of the
// response is to be closed.
func (f *Forwarder) Do(ctx context.Context, req *Request) *Response {
	t, fresh := f.awaitTable(ctx)
	if t == nil {
		return f.refuseUnrouted(req, "no_configuration")
	}
	rule := t.Match(req.Host, req.Target)
	if rule == nil {
		f.Log.Info("forward: rejected", "request", req.ID, "cause", "no_rule", "config", t.Version)
		return plainResponse(http.StatusNotFound, 0)
	}
	customer, err := t.Authorize(rule, req.Key, fresh)
	if err != nil {
		return f.deny(req, t, err)
	}
	c := &call{f: f, req: req, rule: rule, priority: rule.PriorityOf(customer), tried: map[string]bool{}}
	if customer != nil {
		c.customer = customer.Name
	}
	c.service = t.Service(rule.PickService())
	if c.service == nil {
		return f.refuseUnrouted(req, "no_service")
	}
	c.deadline = deadlineOf(req, rule)
	f.Budget.RecordRequest(c.service.Name, req.Arrived)
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	if rule.Kind == ingress.KindStream && c.service.Model != nil {
		return c.stream(ctx, cancel)
	}
	defer cancel()
	return c.plain(ctx)
}

// awaitTable returns the configuration in force. A host that has just started gets it
// within moments, so a request waits for it rather than be refused.
func (f *Forwarder) awaitTable(ctx context.Context) (t *ingress.Table, fresh bool) {
	t, fresh = f.Tables.Table()
	for waited := time.Duration(0); t == nil && waited < configWait && ctx.Err() == nil; waited += configPollInterval {
		time.Sleep(configPollInterval)
		t, fresh = f.Tables.Table()
	}
	return t, fresh
}

// deadlineOf returns when the caller or the operator stops waiting.
func deadlineOf(req *Request, rule *ingress.Rule) time.Time {
	timeout := rule.Timeout
	if req.Patience > 0 && (timeout <= 0 || req.Patience < timeout) {
		timeout = req.Patience
	}
	if timeout <= 0 {
		timeout = time.Minute
	}
	return req.Arrived.Add(timeout)
}

func (f *Forwarder) refuseUnrouted(req *Request, cause string) *Response {
	f.Log.Info("forward: refused", "request", req.ID, "cause", cause)
	f.Counter.Answered("", "", outcome.NotRun, outcome.Cause(cause), time.Since(req.Arrived))
	return Refuse(otherHostRetryAfter)
}

func (f *Forwarder) deny(req *Request, t *ingress.Table, err error) *Response {
	var e *ingress.Error
	if errors.As(err, &e) && e.Kind == ingress.KindStale {
		return f.refuseUnrouted(req, string(e.Kind))
	}
	f.Log.Info("forward: rejected", "request", req.ID, "cause", err.Error(), "config", t.Version)
	return plainResponse(http.StatusUnauthorized, 0)
}

// Refuse returns the answer to a request that is not run, and may come back.
func Refuse(after time.Duration) *Response {
	return plainResponse(http.StatusServiceUnavailable, after)
}

func plainResponse(status int, retryAfter time.Duration) *Response {
	return &Response{Status: status, Body: http.NoBody, RetryAfter: retryAfter}
}

// reauthorize reports whether the request is still allowed by what is known now:
// time may have passed since it arrived.
func (c *call) reauthorize() error {
	t, fresh := c.f.Tables.Table()
	if t == nil {
		return &ingress.Error{Op: "recheck", Kind: ingress.KindStale}
	}
	_, err := t.Authorize(c.rule, c.req.Key, fresh)
	return err
}

// refuse ends a request that no replica has run.
func (c *call) refuse(cause string, after time.Duration) *Response {
	c.finish(outcome.NotRun, cause)
	return Refuse(after)
}

// fail ends a request that may have run.
func (c *call) fail(cause string) *Response {
	status := http.StatusBadGateway
	if time.Now().Add(minRemaining).After(c.deadline) {
		status = http.StatusGatewayTimeout
	}
	c.finish(outcome.Unknown, cause)
	return plainResponse(status, 0)
}

// giveUp ends a request that was tried: as not run if that is sure.
func (c *call) giveUp(cause string) *Response {
	if c.mayHaveRun {
		return c.fail(cause)
	}
	return c.refuse(cause, minRetryAfter+rand.N(minRetryAfter))
}

// finish logs and counts the end of a request.
func (c *call) finish(kind outcome.Kind, cause string, more ...any) {
	took := time.Since(c.req.Arrived)
	c.f.Counter.Answered(c.customer, c.rule.Name, kind, outcome.Cause(cause), took)
	c.f.Log.Info("forward: ended", append([]any{
		"request", c.req.ID, "rule", c.rule.Name, "customer", c.customer, "outcome", string(kind), "cause", cause,
		"sends", c.sends, "took_ms", took.Milliseconds(),
	}, more...)...)
}
