package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"bulrushshed/completion"
	"bulrushshed/outcome"
	"bulrushshed/rule"
)

// completionRequest is the body of a completion, in the usual format.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    *bool  `json:"stream"`
	// User is the customer, if no header names it.
	User string `json:"user"`
}

// chunk is one event of a stream, or the whole answer.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	Position     int    `json:"position"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// token is one token on its way to the caller.
type token struct {
	position int
	text     string
}

// tokenBuffer is how many tokens wait for a slow caller.
const tokenBuffer = 4

// channelSink hands tokens to the goroutine that writes to the caller.
type channelSink struct {
	ctx    context.Context
	tokens chan token
}

var _ completion.Sink = channelSink{}

// Token waits until the writer has room, or the request ends.
func (s channelSink) Token(position int, text string) error {
	select {
	case s.tokens <- token{position: position, text: text}:
		return nil
	case <-s.ctx.Done():
		return context.Cause(s.ctx)
	}
}

// running is a completion that one goroutine runs and another writes.
type running struct {
	in     call
	model  string
	cancel context.CancelFunc
	// depart is called once the caller has its answer.
	depart func()
	tokens chan token
	// done carries the end of the run, nil if the answer is whole.
	done chan error
	// first is the token that the head of the answer waited for.
	first *token
}

func (s *Server) serveCompletion(c fiber.Ctx) error {
	in := newCall(c)
	f := s.rules.Current().File
	body, model, err := s.readCompletion(c, f)
	in.class = model.Name
	if in.customer == "" {
		in.customer = body.User
	}
	if err != nil {
		return s.refuse(c, in, err)
	}
	if in.customer == "" {
		return s.refuse(c, in, invalid(HeaderCustomer, "got no customer, want its name"))
	}
	r := s.start(in, body, model, s.gate.TrackRequest())
	c.Set(HeaderRequestID, in.id)
	if body.Stream != nil && !*body.Stream {
		return s.whole(c, r)
	}
	return s.stream(c, r)
}

func (s *Server) readCompletion(c fiber.Ctx, f *rule.File) (completionRequest, rule.Model, error) {
	var body completionRequest
	dec := json.NewDecoder(bytes.NewReader(c.Body()))
	if err := dec.Decode(&body); err != nil {
		return body, rule.Model{}, invalid("body", "got "+err.Error()+", want a JSON object")
	}
	model, ok := f.Model(body.Model)
	switch {
	case !ok:
		return body, model, invalidCause(outcome.CauseNoRule, "model", "no rule names the model "+strconv.Quote(body.Model))
	case body.Prompt == "" || len(body.Prompt) > s.opts.PromptBytes:
		return body, model, invalid("prompt", "got "+strconv.Itoa(len(body.Prompt))+" bytes, want 1 to "+strconv.Itoa(s.opts.PromptBytes))
	case body.MaxTokens < 1 || body.MaxTokens > s.opts.Tokens:
		return body, model, invalid("max_tokens", "got "+strconv.Itoa(body.MaxTokens)+", want 1 to "+strconv.Itoa(s.opts.Tokens))
	}
	return body, model, nil
}

// start waits for a place at the gate and runs a completion.
func (s *Server) start(in call, body completionRequest, model rule.Model, depart func()) *running {
	ctx, cancel := context.WithCancel(s.base)
	r := &running{in: in, model: model.Name, cancel: cancel, depart: depart, tokens: make(chan token, tokenBuffer), done: make(chan error, 1)}
	req := completion.Request{
		ID: in.id, Customer: in.customer, Model: model, Prompt: body.Prompt,
		MaxTokens: body.MaxTokens, Deadline: in.start.Add(model.Deadline),
	}
	go func() {
		defer cancel()
		err := s.run(ctx, req, channelSink{ctx: ctx, tokens: r.tokens})
		close(r.tokens)
		r.done <- err
	}()
	return r
}

func (s *Server) run(ctx context.Context, req completion.Request, sink completion.Sink) error {
	bounded, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	start := time.Now()
	leave, err := s.gate.Enter(bounded, req)
	if err != nil {
		return err
	}
	s.meter.Queued(req.Model.Name, time.Since(start))
	err = s.completer.Run(ctx, req, sink)
	leave(err == nil)
	return err
}

// whole gathers the answer and sends it at once.
func (s *Server) whole(c fiber.Ctx, r *running) error {
	defer r.depart()
	defer r.cancel()
	var text strings.Builder
	n := 0
	for t := range r.tokens {
		s.meterToken(r, t.position, time.Now())
		text.WriteString(t.text)
		n++
	}
	if err := <-r.done; err != nil {
		return s.refuse(c, r.in, err)
	}
	s.meter.Answered(r.in.customer, r.in.class, outcome.Answered, "", time.Since(r.in.start))
	c.Set(HeaderOutcome, string(outcome.Answered))
	return c.JSON(r.chunk(token{position: n, text: text.String()}, "length"))
}

// stream sends tokens as they come. A request that fails before its first
// token gets a status of its own, unless that takes too long.
func (s *Server) stream(c fiber.Ctx, r *running) error {
	wait := time.NewTimer(s.opts.HeadWait)
	defer wait.Stop()
	select {
	case t, ok := <-r.tokens:
		if !ok {
			return s.refuseStream(c, r)
		}
		r.first = &t
	case <-wait.C:
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	return c.SendStreamWriter(func(w *bufio.Writer) { s.write(w, r) })
}

// refuseStream answers a run that ended without a token.
func (s *Server) refuseStream(c fiber.Ctx, r *running) error {
	defer r.depart()
	err := <-r.done
	if err == nil {
		err = &outcome.Error{Op: "complete", Kind: outcome.Unknown, Cause: outcome.CauseInterrupted, Message: "no token"}
	}
	return s.refuse(c, r.in, err)
}

func (r *running) chunk(t token, finish string) chunk {
	return chunk{ID: r.in.id, Object: "text_completion", Model: r.model, Choices: []choice{
		{Text: t.text, Position: t.position, FinishReason: finish},
	}}
}
