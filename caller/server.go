package caller

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"log/slog"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"bulrushshed/completion"
	"bulrushshed/delivery"
	"bulrushshed/ingress"
	"bulrushshed/ingresshttp"
	"bulrushshed/intake"
	"bulrushshed/outcome"
	"bulrushshed/rule"
	"bulrushshed/service"
)

// Request and response headers.
const (
	HeaderCustomer  = "Customer"
	HeaderOutcome   = "Outcome"
	HeaderRequestID = service.HeaderRequestID
	// HeaderKey holds the idempotency key of a call.
	HeaderKey        = service.HeaderKey
	HeaderRetryAfter = "Retry-After"
)

// Completer runs completions.
type Completer interface {
	Run(ctx context.Context, r completion.Request, sink completion.Sink) error
}

// Deliverer delivers calls to plain services.
type Deliverer interface {
	Deliver(ctx context.Context, r delivery.Request) (outcome.Answer, error)
}

// Gate limits the number of completions that run at a time, and counts the active
// requests.
type Gate interface {
	// TrackRequest counts a request as active until done is called.
	TrackRequest() (done func())
	// Admit waits for a slot of the request's model; each running completion
	// occupies one. release frees the slot and must be called once; its argument
	// says whether the completion succeeded. The error is an *outcome.Error of
	// kind NotRun.
	Admit(ctx context.Context, r completion.Request) (release func(served bool), err error)
}

// RuleSource provides the rule file that is in effect.
type RuleSource interface {
	Current() rule.ActiveFile
}

// Entry is an entry host, which is a host that serves this API.
type Entry struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// EntryProvider returns the entry hosts that callers should use, and issues
// idempotency keys.
type EntryProvider interface {
	Entries() []Entry
	IssueKeys(n int) []string
}

// Meter records the metrics of requests by customer and class. The class of a
// completion is its model.
type Meter interface {
	RequestDone(customer, class string, kind outcome.Kind, cause outcome.Cause, took time.Duration)
	FirstToken(customer, class string, took time.Duration)
	BetweenTokens(customer, class string, took time.Duration)
	Queued(class string, took time.Duration)
}

// Options are the limits and timeouts of a Server.
type Options struct {
	// Ledger bounds the memory of requests.
	Ledger *intake.Ledger
	// BodyPace is the lowest rate of bodies; zero means the default of package ingresshttp.
	BodyPace       intake.Pace
	MaxBodyBytes   int
	MaxPromptBytes int
	MaxTokens      int
	// KeysPerFetch is the maximum number of idempotency keys in a response of
	// /v1/entries, and EntriesValid is how long callers may cache its entries.
	KeysPerFetch int
	EntriesValid time.Duration
	// HeaderTimeout bounds the time from the first byte of a request to the end of its
	// header; 0 means the default of package ingress.
	HeaderTimeout time.Duration
	// Connections bounds the connections.
	Connections ingresshttp.ConnectionOptions
	// FirstTokenWait is how long a stream waits for its first token before the
	// response header is sent. A request that fails within that time gets the status
	// of its error.
	FirstTokenWait time.Duration
}

// Server serves the HTTP API for callers.
type Server struct {
	opts      Options
	completer Completer
	deliverer Deliverer
	gate      Gate
	rules     RuleSource
	entries   EntryProvider
	meter     Meter
	log       *slog.Logger
	// workCtx is the parent context of all requests. It is cancelled when the
	// daemon has drained.
	workCtx context.Context
}

// NewServer returns a server. Cancelling ctx cancels the requests being served.
func NewServer(
	ctx context.Context, o Options, c Completer, d Deliverer, g Gate, r RuleSource, e EntryProvider, m Meter, log *slog.Logger,
) *Server {
	return &Server{opts: o, completer: c, deliverer: d, gate: g, rules: r, entries: e, meter: m, log: log, workCtx: ctx}
}

// maxHeaderBytes bounds the header of a request. Each request that is being read or served
// counts as holding as much.
const maxHeaderBytes = 8 << 10

// HTTPServer returns the HTTP server. It bounds the memory of requests by the ledger of the
// options. Once stopping returns true, connections are closed after each response.
func (s *Server) HTTPServer(stopping func() bool) *ingresshttp.Server {
	limits := ingress.DefaultLimits()
	limits.BodyBytes = s.opts.MaxBodyBytes
	limits.HeaderTimeout = cmp.Or(s.opts.HeaderTimeout, limits.HeaderTimeout)
	return ingresshttp.NewHandlerServer(s.workCtx, ingresshttp.Options{
		Stopping: stopping, Ledger: s.opts.Ledger, BodyPace: s.opts.BodyPace, Log: s.log,
		Limits: func() ingress.Limits { return limits }, HeaderBytes: maxHeaderBytes, Connections: s.opts.Connections,
	}, s.app().Handler(), s.refuse)
}

func (s *Server) app() *fiber.App {
	app := fiber.New(fiber.Config{Immutable: true, BodyLimit: s.opts.MaxBodyBytes, ErrorHandler: s.respondMalformed})
	app.Get("/v1/entries", s.serveEntries)
	app.Post("/v1/completions", s.serveCompletion)
	app.All("/*", s.serveCall)
	return app
}

// entriesResponse is the response body of /v1/entries.
type entriesResponse struct {
	Entries []Entry  `json:"entries"`
	ValidMS int64    `json:"valid_ms"`
	Keys    []string `json:"keys"`
}

func (s *Server) serveEntries(c fiber.Ctx) error {
	n, err := strconv.Atoi(c.Query("keys", "1"))
	if err != nil || n < 0 || n > s.opts.KeysPerFetch {
		return s.respondError(c, requestInfo{}, invalid("keys", "got "+c.Query("keys")+", want 0 to "+strconv.Itoa(s.opts.KeysPerFetch)))
	}
	return c.JSON(entriesResponse{
		Entries: s.entries.Entries(), ValidMS: s.opts.EntriesValid.Milliseconds(), Keys: s.entries.IssueKeys(n),
	})
}

// requestInfo identifies a request in logs and metrics.
type requestInfo struct {
	id       string
	customer string
	// class is the name of the class of a call, or of the model of a completion.
	class string
	start time.Time
}

const requestIDBytes = 9

func newRequestInfo(c fiber.Ctx) requestInfo {
	id := make([]byte, requestIDBytes)
	// rand.Read never returns an error; it aborts the program instead.
	_, _ = rand.Read(id)
	return requestInfo{id: hex.EncodeToString(id), customer: strings.Clone(c.Get(HeaderCustomer)), start: time.Now()}
}

// serveCall delivers a call to a plain service. Its path determines the class in the
// rule file, which names the service.
func (s *Server) serveCall(c fiber.Ctx) error {
	defer s.gate.TrackRequest()()
	info := newRequestInfo(c)
	f := s.rules.Current().File
	path, ok := canonicalPath(c)
	if !ok {
		return s.respondError(c, info, invalid("path", "want a path without dot segments, empty segments or escaped slashes"))
	}
	class, ok := f.Class(path)
	if !ok {
		return s.respondError(c, info, invalidCause(outcome.CauseNoRule, "path", "no rule names the path "+path))
	}
	info.class = class.Name
	if info.customer == "" {
		return s.respondError(c, info, invalid(HeaderCustomer, "got no customer, want its name"))
	}
	body, err := s.readBody(c)
	if err != nil {
		return s.respondError(c, info, err)
	}
	answer, err := s.deliverer.Deliver(s.workCtx, delivery.Request{
		ID: info.id, Customer: info.customer, Class: class, Method: c.Method(), Path: originalTarget(c),
		Key: c.Get(HeaderKey), ContentType: c.Get(fiber.HeaderContentType), Body: body,
		Deadline: info.start.Add(class.Deadline),
	})
	if err != nil {
		return s.respondError(c, info, err)
	}
	if outcome.PromisesNotRun(answer.Status) {
		// The service did not state that it had not run the call.
		return s.respondError(c, info, &outcome.Error{
			Op: "call", Kind: outcome.Unknown, Cause: outcome.CauseNoAnswer, Message: "the service answered with status " + strconv.Itoa(answer.Status),
		})
	}
	// A service that responds with a 5xx status may or may not have run the call.
	kind := outcome.Answered
	if answer.Status >= fiber.StatusInternalServerError {
		kind = outcome.Unknown
	}
	s.meter.RequestDone(info.customer, info.class, kind, outcome.CauseNoAnswer, time.Since(info.start))
	c.Set(HeaderRequestID, info.id)
	c.Set(HeaderOutcome, string(kind))
	c.Set(fiber.HeaderContentType, answer.ContentType)
	return c.Status(answer.Status).Send(answer.Body)
}

// canonicalPath returns the unescaped path. ok is false if a service could normalize
// the path to a different one, since the call could then be admitted under another
// class than the one that it runs as.
func canonicalPath(c fiber.Ctx) (path string, ok bool) {
	uri := c.RequestCtx().URI()
	original := string(uri.PathOriginal())
	path, err := url.PathUnescape(original)
	same := path == string(uri.Path()) && strings.Count(original, "/") == strings.Count(path, "/")
	return path, err == nil && same && !strings.Contains(path, "\\")
}

// originalTarget returns the path and query as sent by the caller.
func originalTarget(c fiber.Ctx) string {
	uri := c.RequestCtx().URI()
	path := string(uri.PathOriginal())
	if query := string(uri.QueryString()); query != "" {
		return path + "?" + query
	}
	return path
}

func invalid(field, message string) error {
	return invalidCause(outcome.CauseInvalidField, field, message)
}

func invalidCause(cause outcome.Cause, field, message string) error {
	return &outcome.Error{Op: "read", Kind: outcome.Invalid, Cause: cause, Field: field, Message: message}
}

// respondMalformed responds to requests that fail before they reach a handler.
func (s *Server) respondMalformed(c fiber.Ctx, err error) error {
	status := fiber.StatusBadRequest
	var f *fiber.Error
	if errors.As(err, &f) {
		status = f.Code
	}
	o := &outcome.Error{Op: "read", Kind: outcome.Invalid, Cause: outcome.CauseInvalidField, Field: "request", Message: err.Error()}
	s.meter.RequestDone("", "", o.Kind, o.Cause, 0)
	c.Set(HeaderOutcome, string(o.Kind))
	return c.Status(status).JSON(newErrorResponse(o))
}

// respondError responds with the outcome of a failed request.
func (s *Server) respondError(c fiber.Ctx, info requestInfo, err error) error {
	o := toOutcome(err)
	s.recordFailure(info, o)
	if info.id != "" {
		c.Set(HeaderRequestID, info.id)
	}
	c.Set(HeaderOutcome, string(o.Kind))
	if o.RetryAfter > 0 {
		c.Set(HeaderRetryAfter, retryAfterSeconds(o.RetryAfter))
	}
	return c.Status(httpStatus(o)).JSON(newErrorResponse(o))
}

// recordFailure counts and logs a failed request.
func (s *Server) recordFailure(info requestInfo, o *outcome.Error) {
	var took time.Duration
	if !info.start.IsZero() {
		took = time.Since(info.start)
	}
	s.meter.RequestDone(info.customer, info.class, o.Kind, o.Cause, took)
	s.log.Info("caller: no answer", "request_id", info.id, "attempt", o.Attempt, "customer", info.customer, "class", info.class,
		"kind", string(o.Kind), "cause", string(o.Cause), "message", o.Message)
}
