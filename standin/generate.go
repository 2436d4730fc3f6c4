package standin

import (
	"bufio"
	"encoding/json"

	"github.com/gofiber/fiber/v3"

	"bulrushshed/engine"
	"bulrushshed/reference"
)

func (e *Engine) serveGenerate(c fiber.Ctx) error {
	var g engine.Generate
	if err := c.Bind().JSON(&g); err != nil || len(g.Route.Hops) == 0 {
		return notRun(c, fiber.StatusBadRequest, "unreadable request")
	}
	e.mu.Lock()
	draining := e.draining
	e.mu.Unlock()
	if draining {
		return notRun(c, fiber.StatusServiceUnavailable, "draining")
	}
	if reason := e.accept(g.Route.Hops[0], g.Route.Version); reason != "" {
		return notRun(c, fiber.StatusConflict, reason)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	e.count(1)
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer e.count(-1)
		e.generate(w, g)
	})
}

func (e *Engine) count(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams += n
}

// generate writes one event a token until the end, a failed hop, a cancel or
// a reader that has gone.
func (e *Engine) generate(w *bufio.Writer, g engine.Generate) {
	before := ""
	if n := len(g.Delivered); n > 0 {
		before = g.Delivered[n-1]
	}
	for position := len(g.Delivered); position < g.MaxTokens; position++ {
		out := e.run(forward{
			RequestID: g.RequestID, Attempt: g.Attempt, Prompt: g.Prompt, Priority: g.Priority,
			Position: position, Version: g.Route.Version, State: reference.InitialState(g.Route.Version, g.Prompt, position, before), Hops: g.Route.Hops,
		})
		if out.Reason != "" {
			_ = writeEvent(w, engine.Event{
				Kind: engine.EventError, RequestID: g.RequestID, Attempt: g.Attempt,
				Position: position, Endpoint: out.Endpoint, From: out.From, Reason: out.Reason,
			})
			return
		}
		before = reference.TokenText(out.State)
		event := engine.Event{
			Kind: engine.EventToken, RequestID: g.RequestID, Attempt: g.Attempt, Position: position, Token: before,
		}
		if writeEvent(w, event) != nil {
			return
		}
	}
	_ = writeEvent(w, engine.Event{
		Kind: engine.EventEnd, RequestID: g.RequestID, Attempt: g.Attempt, Position: g.MaxTokens,
	})
}

func writeEvent(w *bufio.Writer, event engine.Event) error {
	body, err := json.Marshal(event)
	if err != nil {
		return err
	}
	if _, err := w.WriteString("data: " + string(body) + "\n\n"); err != nil {
		return err
	}
	return w.Flush()
}
