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
		return rejectNotRun(c, fiber.StatusBadRequest, "malformed request or empty route")
	}
	e.mu.Lock()
	draining := e.draining
	e.mu.Unlock()
	if draining {
		return rejectNotRun(c, fiber.StatusServiceUnavailable, "draining")
	}
	if reason := e.hopRejection(g.Route.Hops[0], g.Route.Version); reason != "" {
		return rejectNotRun(c, fiber.StatusConflict, reason)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	e.addOpenStreams(1)
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer e.addOpenStreams(-1)
		e.generate(w, g)
	})
}

// addOpenStreams adds n to the number of open streams.
func (e *Engine) addOpenStreams(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.openStreams += n
}

// generate writes one event per token. It stops after MaxTokens, when a hop
// fails or the attempt is cancelled, or when the client has disconnected.
func (e *Engine) generate(w *bufio.Writer, g engine.Generate) {
	previous := ""
	if n := len(g.Delivered); n > 0 {
		previous = g.Delivered[n-1]
	}
	for position := len(g.Delivered); position < g.MaxTokens; position++ {
		out := e.forward(forwardRequest{
			RequestID: g.RequestID, Attempt: g.Attempt, Prompt: g.Prompt, Priority: g.Priority,
			Position: position, Version: g.Route.Version, State: reference.InitialState(g.Route.Version, g.Prompt, position, previous), Hops: g.Route.Hops,
		})
		if out.Reason != "" {
			_ = writeEvent(w, engine.Event{
				Kind: engine.EventError, RequestID: g.RequestID, Attempt: g.Attempt,
				Position: position, Endpoint: out.Endpoint, From: out.From, Reason: out.Reason,
			})
			return
		}
		previous = reference.TokenText(out.State)
		event := engine.Event{
			Kind: engine.EventToken, RequestID: g.RequestID, Attempt: g.Attempt, Position: position, Token: previous,
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
