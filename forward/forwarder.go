package forward

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"bulrushshed/ingress"
	"bulrushshed/outcome"
	"bulrushshed/pipeline"
	"bulrushshed/quarantine"
	"bulrushshed/replica"
	"bulrushshed/retrybudget"
)

const (
	// minRemaining is the time left below which a request is no longer sent.
	minRemaining = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the random times after which refused
	// callers may retry: once to twice minRetryAfter where another replica may
	// serve them at once, up to maxRetryAfter where capacity must be freed first.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
	// minRestoreRetryAfter and maxRestoreRetryAfter bound those where an engine must
	// restart and load layers first.
	minRestoreRetryAfter = 2 * time.Second
	maxRestoreRetryAfter = 5 * time.Second
	// otherHostRetryAfter is the time after which a caller may retry if only this
	// host cannot serve it: this host lacks current configuration, not replicas.
	otherHostRetryAfter = 20 * time.Millisecond
	// configWait is how long a request waits for the first configuration, and
	// configPollInterval the interval at which it is polled.
	configWait         = 300 * time.Millisecond
	configPollInterval = 10 * time.Millisecond
	// maxUnreachable is how many unreachable replicas a request skips; they do
	// not count as attempts.
	maxUnreachable = 3
	// maxPlainBody limits the answer of a plain service, which is buffered until
	// it is complete. An answer that is not shorter counts as broken.
	maxPlainBody = 256 << 10
	// smallBodyBytes is the size up to which an answer is read without waiting for memory.
	smallBodyBytes = 16 << 10
	// minFailureStatus is the lowest status with which a replica reports a
	// failure of its own.
	minFailureStatus = http.StatusInternalServerError
)

// Counter counts the outcomes of requests, and their retries and resumes. The class
// of a request is the name of its rule.
type Counter interface {
	// RequestDone counts the outcome of a request, also if it was not run.
	RequestDone(customer, class string, kind outcome.Kind, cause outcome.Cause, took time.Duration)
	// FirstToken records the time until the first event of a stream, and
	// BetweenTokens how long its reader waited for a later one.
	FirstToken(customer, class string, took time.Duration)
	BetweenTokens(customer, class string, took time.Duration)
	// Retried counts a failed send of a plain request that may be retried.
	Retried(class string)
	// Resumed counts a stream that is resumed by a new attempt or was rerouted.
	Resumed(cause string)
}

// Dependencies are the components that a forwarder uses.
type Dependencies struct {
	Tables   Tables
	Replicas *replica.List
	Picker   *replica.Picker
	Planner  *pipeline.Planner
	Progress *pipeline.ProgressTracker
	// Quarantine tracks what crashes replicas.
	Quarantine *quarantine.Tracker
	// FindingsKnown is closed once Quarantine has the findings of other hosts, or will
	// not get them soon. Requests wait for it shortly.
	FindingsKnown <-chan struct{}
	Upstream      Upstream
	// Links tells which replicas are reached only through other hosts; nil for none.
	Links   Links
	Limiter Limiter
	// Findings tells other hosts about engines; nil for none.
	Findings Findings
	Budget   RetryBudget
	Counter  Counter
	Log      *slog.Logger
}

// Forwarder serves requests of callers. It is safe for concurrent use.
type Forwarder struct {
	Dependencies
	checker *checker
}

// New returns a forwarder with the given dependencies.
func New(deps Dependencies) *Forwarder {
	return &Forwarder{Dependencies: deps, checker: newChecker()}
}

// call is one request being served.
type call struct {
	f    *Forwarder
	req  *Request
	rule *ingress.Rule
	// service is the one selected for the request by weight.
	service  *ingress.Service
	customer string
	priority int
	// deadline is when the timeout of the caller or of the rule expires.
	deadline time.Time
	// sends counts the replicas that the request was sent to. tried has those that
	// must not be selected again: their IDs for a plain service, and their
	// addresses for a stream.
	sends int
	tried map[string]bool
	// exhausted has the replicas that did not get the request because of their limits.
	exhausted exhausted
	// fingerprint is the hash by which the request is recognized if it comes again, and
	// features has all by which it may crash replicas.
	fingerprint uint64
	features    []quarantine.Feature
	// returnAfterHold is when the caller should return if a feature of the request is held.
	returnAfterHold time.Duration
	// budget is the state of the retry budget when it last decided about the request.
	budget retrybudget.State
	// mayHaveRun is set once a replica has received the request and has not
	// reported that it did not run it.
	mayHaveRun bool
}

// Do serves one request. ctx ends when the caller disconnects. The caller of Do must
// close the body of the response.
func (f *Forwarder) Do(ctx context.Context, req *Request) *Response {
	t, fresh := f.awaitTable(ctx)
	if t == nil {
		return f.refuseUnrouted(req, "no_configuration")
	}
	rule, customer, rejected := f.authorize(req, t, fresh)
	if rejected != nil {
		return rejected
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
	c.identify()
	f.Budget.RecordRequest(c.service.Name)
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	if rule.Kind == ingress.KindStream && c.service.Model != nil {
		return c.serveStream(ctx, cancel)
	}
	defer cancel()
	f.awaitFindings(ctx, rule)
	return c.servePlain(ctx)
}

// Screen returns the response to a request that is rejected by its header alone, or nil. It
// does not use the body.
func (f *Forwarder) Screen(req *Request) *Response {
	t, fresh := f.Tables.Table()
	if t == nil {
		return nil
	}
	_, _, rejected := f.authorize(req, t, fresh)
	return rejected
}

// authorize returns the rule of a request and the customer that owns its key, which is nil
// if the rule needs none, or the response with which the request is rejected.
func (f *Forwarder) authorize(req *Request, t *ingress.Table, fresh bool) (*ingress.Rule, *ingress.Customer, *Response) {
	rule := t.Match(req.Host, req.Target)
	if rule == nil {
		f.Log.Info("forward: request rejected", "request", req.ID, "cause", "no_rule", "config", t.Version)
		return nil, nil, emptyResponse(http.StatusNotFound, 0)
	}
	customer, err := t.Authorize(rule, req.Key, fresh)
	if err != nil {
		return nil, nil, f.deny(req, t, err)
	}
	return rule, customer, nil
}

// awaitTable returns the configuration in force. A host receives it shortly after its
// start, so a request waits for it instead of being refused.
func (f *Forwarder) awaitTable(ctx context.Context) (t *ingress.Table, fresh bool) {
	t, fresh = f.Tables.Table()
	for waited := time.Duration(0); t == nil && waited < configWait && ctx.Err() == nil; waited += configPollInterval {
		time.Sleep(configPollInterval)
		t, fresh = f.Tables.Table()
	}
	return t, fresh
}

// deadlineOf returns when the timeout of the caller or of the rule expires.
func deadlineOf(req *Request, rule *ingress.Rule) time.Time {
	timeout := rule.Timeout
	if req.Timeout > 0 && (timeout <= 0 || req.Timeout < timeout) {
		timeout = req.Timeout
	}
	if timeout <= 0 {
		timeout = time.Minute
	}
	return req.Arrived.Add(timeout)
}

func (f *Forwarder) refuseUnrouted(req *Request, cause string) *Response {
	f.Log.Info("forward: request refused, may be retried", "request", req.ID, "cause", cause)
	f.Counter.RequestDone("", "", outcome.NotRun, outcome.Cause(cause), time.Since(req.Arrived))
	return Refuse(otherHostRetryAfter)
}

func (f *Forwarder) deny(req *Request, t *ingress.Table, err error) *Response {
	var e *ingress.Error
	if errors.As(err, &e) && e.Kind == ingress.KindStale {
		return f.refuseUnrouted(req, string(e.Kind))
	}
	f.Log.Info("forward: request rejected", "request", req.ID, "cause", err.Error(), "config", t.Version)
	return emptyResponse(http.StatusUnauthorized, 0)
}

// Refuse returns the response to a request that was not run and may be retried.
func Refuse(after time.Duration) *Response {
	return emptyResponse(http.StatusServiceUnavailable, after)
}

func emptyResponse(status int, retryAfter time.Duration) *Response {
	return &Response{Status: status, Body: http.NoBody, RetryAfter: retryAfter}
}

// reauthorize checks the request against the current configuration, which may have
// changed since the request arrived.
func (c *call) reauthorize() error {
	t, fresh := c.f.Tables.Table()
	if t == nil {
		return &ingress.Error{Op: "recheck", Kind: ingress.KindStale}
	}
	_, err := t.Authorize(c.rule, c.req.Key, fresh)
	return err
}

// formatFingerprint formats the fingerprint of the request for a log line.
func (c *call) formatFingerprint() string { return strconv.FormatUint(c.fingerprint, 16) }

// refuse ends a request that no replica has run; the caller may retry it.
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
	return emptyResponse(status, 0)
}

// giveUp ends a request that was tried: as not run only if that is certain.
func (c *call) giveUp(cause string) *Response {
	switch {
	case c.mayHaveRun:
		return c.fail(cause)
	case cause == causeLimited:
		return c.refuse(cause, c.returnAfterLimit())
	case cause == causeQuarantined:
		return c.refuse(cause, c.returnAfterHold)
	}
	return c.refuse(cause, minRetryAfter+rand.N(minRetryAfter))
}

// finish logs and counts the outcome of a request.
func (c *call) finish(kind outcome.Kind, cause string, more ...any) {
	took := time.Since(c.req.Arrived)
	if kind != outcome.Answered && len(c.req.SharedParts) > 0 {
		more = append(more, "parts", formatParts(c.req.SharedParts))
	}
	if kind == outcome.Unknown {
		more = append(more, "fingerprint", c.formatFingerprint())
	}
	if cause == causeBudget {
		more = append(more, c.budgetFields()...)
	}
	c.f.Counter.RequestDone(c.customer, c.rule.Name, kind, outcome.Cause(cause), took)
	c.f.Log.Info("forward: request ended", append([]any{
		"request", c.req.ID, "rule", c.rule.Name, "customer", c.customer, "outcome", string(kind), "cause", cause,
		"sends", c.sends, "took_ms", took.Milliseconds(),
	}, more...)...)
}
