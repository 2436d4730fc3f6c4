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

// completionRequest is the body of a completion request, OpenAI-compatible.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    *bool  `json:"stream"`
	// User is the customer if the header Customer is missing.
	User string `json:"user"`
}

// chunk is an event of a stream, or the complete response.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	// Position is the index of the token in the completion, from 0. In a complete
	// response it is the number of tokens instead, and in the final chunk of a
	// stream, which has no text, it is 0.
	Position     int    `json:"position"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// token is a token to be sent to the caller.
type token struct {
	position int
	text     string
}

// tokenBuffer is the number of tokens that are buffered for a slow caller.
const tokenBuffer = 4

// channelSink sends tokens to the goroutine that writes to the caller.
type channelSink struct {
	ctx    context.Context
	tokens chan token
}

var _ completion.Sink = channelSink{}

// WriteToken blocks until there is room in the buffer or the request ends.
func (s channelSink) WriteToken(position int, text string) error {
	select {
	case s.tokens <- token{position: position, text: text}:
		return nil
	case <-s.ctx.Done():
		return context.Cause(s.ctx)
	}
}

// completionRun is a completion that is run by one goroutine and written to the caller
// by another.
type completionRun struct {
	info   requestInfo
	model  string
	cancel context.CancelFunc
	// untrack must be called once the response has been sent.
	untrack func()
	tokens  chan token
	// done receives the result of the run, nil if it completed.
	done chan error
	// first is the token that was received before the response header was sent,
	// if any.
	first *token
}

func (s *Server) serveCompletion(c fiber.Ctx) error {
	info := newRequestInfo(c)
	f := s.rules.Current().File
	body, model, err := s.readCompletion(c, f)
	info.class = model.Name
	if info.customer == "" {
		info.customer = body.User
	}
	if err != nil {
		return s.respondError(c, info, err)
	}
	if info.customer == "" {
		return s.respondError(c, info, invalid(HeaderCustomer, "got no customer, want its name"))
	}
	r := s.start(info, body, model, s.gate.TrackRequest())
	c.Set(HeaderRequestID, info.id)
	if body.Stream != nil && !*body.Stream {
		return s.sendComplete(c, r)
	}
	return s.sendStream(c, r)
}

func (s *Server) readCompletion(c fiber.Ctx, f *rule.File) (completionRequest, rule.Model, error) {
	var body completionRequest
	text, err := s.readBody(c)
	if err != nil {
		return body, rule.Model{}, err
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	if err := dec.Decode(&body); err != nil {
		return body, rule.Model{}, invalid("body", "got "+err.Error()+", want a JSON object")
	}
	// While the completion runs, only the decoded prompt is held.
	c.Request().ResetBody()
	model, ok := f.Model(body.Model)
	switch {
	case !ok:
		return body, model, invalidCause(outcome.CauseNoRule, "model", "no rule names the model "+strconv.Quote(body.Model))
	case body.Prompt == "" || len(body.Prompt) > s.opts.MaxPromptBytes:
		return body, model, invalid("prompt", "got "+strconv.Itoa(len(body.Prompt))+" bytes, want 1 to "+strconv.Itoa(s.opts.MaxPromptBytes))
	case body.MaxTokens < 1 || body.MaxTokens > s.opts.MaxTokens:
		return body, model, invalid("max_tokens", "got "+strconv.Itoa(body.MaxTokens)+", want 1 to "+strconv.Itoa(s.opts.MaxTokens))
	}
	return body, model, nil
}

// start starts a goroutine that waits for admission and then runs a completion.
// untrack becomes the returned run's untrack.
func (s *Server) start(info requestInfo, body completionRequest, model rule.Model, untrack func()) *completionRun {
	ctx, cancel := context.WithCancel(s.workCtx)
	r := &completionRun{info: info, model: model.Name, cancel: cancel, untrack: untrack, tokens: make(chan token, tokenBuffer), done: make(chan error, 1)}
	req := completion.Request{
		ID: info.id, Customer: info.customer, Model: model, Prompt: body.Prompt,
		MaxTokens: body.MaxTokens, Deadline: info.start.Add(model.Deadline),
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
	release, err := s.gate.Admit(bounded, req)
	if err != nil {
		return err
	}
	s.meter.Queued(req.Model.Name, time.Since(start))
	err = s.completer.Run(ctx, req, sink)
	release(err == nil)
	return err
}

// sendComplete waits for all tokens and sends them in a single response.
func (s *Server) sendComplete(c fiber.Ctx, r *completionRun) error {
	defer r.untrack()
	defer r.cancel()
	var text strings.Builder
	n := 0
	for t := range r.tokens {
		s.observeToken(r, t.position, time.Now())
		text.WriteString(t.text)
		n++
	}
	if err := <-r.done; err != nil {
		return s.respondError(c, r.info, err)
	}
	s.meter.RequestDone(r.info.customer, r.info.class, outcome.Answered, "", time.Since(r.info.start))
	c.Set(HeaderOutcome, string(outcome.Answered))
	return c.JSON(r.chunk(token{position: n, text: text.String()}, "length"))
}

// sendStream sends tokens as they arrive. A request that fails before its first token
// and within FirstTokenWait gets the status of its error; after that, the status is
// 200.
func (s *Server) sendStream(c fiber.Ctx, r *completionRun) error {
	wait := time.NewTimer(s.opts.FirstTokenWait)
	defer wait.Stop()
	select {
	case t, ok := <-r.tokens:
		if !ok {
			return s.respondStreamError(c, r)
		}
		r.first = &t
	case <-wait.C:
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	return c.SendStreamWriter(func(w *bufio.Writer) { s.writeStream(w, r) })
}

// respondStreamError responds to a run that ended without a token.
func (s *Server) respondStreamError(c fiber.Ctx, r *completionRun) error {
	defer r.untrack()
	err := <-r.done
	if err == nil {
		err = &outcome.Error{Op: "complete", Kind: outcome.Unknown, Cause: outcome.CauseInterrupted, Message: "no token"}
	}
	return s.respondError(c, r.info, err)
}

func (r *completionRun) chunk(t token, finish string) chunk {
	return chunk{ID: r.info.id, Object: "text_completion", Model: r.model, Choices: []choice{
		{Text: t.text, Position: t.position, FinishReason: finish},
	}}
}
