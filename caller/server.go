package caller

import (
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
	"bulrushshed/outcome"
	"bulrushshed/rule"
	"bulrushshed/service"
)

// The headers that callers send and get.
const (
	HeaderCustomer   = "Customer"
	HeaderOutcome    = "Outcome"
	HeaderRequestID  = service.HeaderRequestID
	HeaderKey        = service.HeaderKey
	HeaderRetryAfter = "Retry-After"
)

// Completer answers prompts.
type Completer interface {
	Run(ctx context.Context, r completion.Request, sink completion.Sink) error
}

// Deliverer answers calls of plain services.
type Deliverer interface {
	Deliver(ctx context.Context, r delivery.Request) (outcome.Answer, error)
}

// Gate admits requests.
type Gate interface {
	// TrackRequest counts a request until done is called.
	TrackRequest() (done func())
	// Enter waits for a place of a model, which leave gives back, once; the
	// error is an *outcome.Error of kind NotRun.
	Enter(ctx context.Context, r completion.Request) (leave func(served bool), err error)
}

// Rules returns the rule file in force.
type Rules interface {
	Current() rule.ActiveFile
}

// Entry is one address that callers may use.
type Entry struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// Entries answers which addresses to use, and issues keys.
type Entries interface {
	Entries() []Entry
	IssueKeys(n int) []string
}

// Meter counts answers by customer and class.
type Meter interface {
	Answered(customer, class string, kind outcome.Kind, cause outcome.Cause, took time.Duration)
	FirstToken(customer, class string, took time.Duration)
	BetweenTokens(customer, class string, took time.Duration)
	Queued(class string, took time.Duration)
}

// Options bound what callers may send.
type Options struct {
	BodyBytes    int
	PromptBytes  int
	Tokens       int
	KeysPerFetch int
	EntriesValid time.Duration
	Read         time.Duration
	Write        time.Duration
	// HeadWait is how long a stream waits for its first token before the
	// status is sent without it.
	HeadWait time.Duration
}

// Server answers callers.
type Server struct {
	opts      Options
	completer Completer
	deliverer Deliverer
	gate      Gate
	rules     Rules
	entries   Entries
	meter     Meter
	log       *slog.Logger
	// base ends when the daemon has drained; it is the context of all work.
	base context.Context
}

// NewServer returns a server whose work ends with ctx.
func NewServer(
	ctx context.Context, o Options, c Completer, d Deliverer, g Gate, r Rules, e Entries, m Meter, log *slog.Logger,
) *Server {
	return &Server{opts: o, completer: c, deliverer: d, gate: g, rules: r, entries: e, meter: m, log: log, base: ctx}
}

// App returns the HTTP application.
func (s *Server) App() *fiber.App {
	app := fiber.New(fiber.Config{
		Immutable: true, BodyLimit: s.opts.BodyBytes, ReadTimeout: s.opts.Read, WriteTimeout: s.opts.Write,
		ErrorHandler: s.refuseUnreadable,
	})
	app.Get("/v1/entries", s.serveEntries)
	app.Post("/v1/completions", s.serveCompletion)
	app.All("/*", s.serveCall)
	return app
}

// entriesAnswer says which addresses to use, for how long.
type entriesAnswer struct {
	Entries []Entry  `json:"entries"`
	ValidMS int64    `json:"valid_ms"`
	Keys    []string `json:"keys"`
}

func (s *Server) serveEntries(c fiber.Ctx) error {
	n, err := strconv.Atoi(c.Query("keys", "1"))
	if err != nil || n < 0 || n > s.opts.KeysPerFetch {
		return s.refuse(c, call{}, invalid("keys", "got "+c.Query("keys")+", want 0 to "+strconv.Itoa(s.opts.KeysPerFetch)))
	}
	return c.JSON(entriesAnswer{
		Entries: s.entries.Entries(), ValidMS: s.opts.EntriesValid.Milliseconds(), Keys: s.entries.IssueKeys(n),
	})
}

// call is who asks for what, for logs and metrics.
type call struct {
	id       string
	customer string
	class    string
	start    time.Time
}

const requestIDBytes = 9

func newCall(c fiber.Ctx) call {
	id := make([]byte, requestIDBytes)
	// Read never returns an error; it aborts the program instead.
	_, _ = rand.Read(id)
	return call{id: hex.EncodeToString(id), customer: strings.Clone(c.Get(HeaderCustomer)), start: time.Now()}
}

// serveCall passes a call on to the plain service that its class names.
func (s *Server) serveCall(c fiber.Ctx) error {
	defer s.gate.TrackRequest()()
	in := newCall(c)
	f := s.rules.Current().File
	path, ok := plainPath(c)
	if !ok {
		return s.refuse(c, in, invalid("path", "want a path without dot segments, empty segments or escaped slashes"))
	}
	class, ok := f.Class(path)
	if !ok {
		return s.refuse(c, in, invalidCause(outcome.CauseNoRule, "path", "no rule names the path "+path))
	}
	in.class = class.Name
	if in.customer == "" {
		return s.refuse(c, in, invalid(HeaderCustomer, "got no customer, want its name"))
	}
	answer, err := s.deliverer.Deliver(s.base, delivery.Request{
		ID: in.id, Customer: in.customer, Class: class, Method: c.Method(), Path: target(c),
		Key: c.Get(HeaderKey), ContentType: c.Get(fiber.HeaderContentType), Body: c.Body(),
		Deadline: in.start.Add(class.Deadline),
	})
	if err != nil {
		return s.refuse(c, in, err)
	}
	// A service that fails may have run the call or not.
	kind := outcome.Answered
	if answer.Status >= fiber.StatusInternalServerError {
		kind = outcome.Unknown
	}
	s.meter.Answered(in.customer, in.class, kind, outcome.CauseNoAnswer, time.Since(in.start))
	c.Set(HeaderRequestID, in.id)
	c.Set(HeaderOutcome, string(kind))
	c.Set(fiber.HeaderContentType, answer.ContentType)
	return c.Status(answer.Status).Send(answer.Body)
}

// plainPath returns the path without escapes, if it means the same to every
// reader. One that a service would rewrite could pass as another class than
// the one it runs as.
func plainPath(c fiber.Ctx) (path string, ok bool) {
	uri := c.RequestCtx().URI()
	original := string(uri.PathOriginal())
	path, err := url.PathUnescape(original)
	same := path == string(uri.Path()) && strings.Count(original, "/") == strings.Count(path, "/")
	return path, err == nil && same && !strings.Contains(path, "\\")
}

// target is the path as its caller wrote it, with its query.
func target(c fiber.Ctx) string {
	uri := c.RequestCtx().URI()
	path := string(uri.PathOriginal())
	if query := string(uri.QueryString()); query != "" {
		return path + "?" + query
	}
	return path
}

func invalid(field, message string) error { return invalidCause(outcome.CauseField, field, message) }

func invalidCause(cause outcome.Cause, field, message string) error {
	return &outcome.Error{Op: "read", Kind: outcome.Invalid, Cause: cause, Field: field, Message: message}
}

// refuseUnreadable answers requests that never reached a handler.
func (s *Server) refuseUnreadable(c fiber.Ctx, err error) error {
	status := fiber.StatusBadRequest
	var f *fiber.Error
	if errors.As(err, &f) {
		status = f.Code
	}
	o := &outcome.Error{Op: "read", Kind: outcome.Invalid, Cause: outcome.CauseField, Field: "request", Message: err.Error()}
	s.meter.Answered("", "", o.Kind, o.Cause, 0)
	c.Set(HeaderOutcome, string(o.Kind))
	return c.Status(status).JSON(errorBody(o))
}

// refuse answers with what became of a request that has no answer.
func (s *Server) refuse(c fiber.Ctx, in call, err error) error {
	o := asOutcome(err)
	s.note(in, o)
	if in.id != "" {
		c.Set(HeaderRequestID, in.id)
	}
	c.Set(HeaderOutcome, string(o.Kind))
	if o.RetryAfter > 0 {
		seconds := (o.RetryAfter + time.Second - 1) / time.Second
		c.Set(HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	return c.Status(status(o)).JSON(errorBody(o))
}

func (s *Server) note(in call, o *outcome.Error) {
	var took time.Duration
	if !in.start.IsZero() {
		took = time.Since(in.start)
	}
	s.meter.Answered(in.customer, in.class, o.Kind, o.Cause, took)
	s.log.Info("caller: no answer", "request_id", in.id, "attempt", o.Attempt, "customer", in.customer, "class", in.class,
		"kind", string(o.Kind), "cause", string(o.Cause), "message", o.Message)
}
