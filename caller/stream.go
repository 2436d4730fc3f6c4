package caller

import (
	"bufio"
	"encoding/json"
	"time"

	"bulrushshed/outcome"
)

// keepAliveInterval is the time without tokens after which a stream sends a comment,
// in order to detect that the caller has disconnected.
const keepAliveInterval = 500 * time.Millisecond

// writeStream writes tokens until the run ends or the caller disconnects, and then
// cancels the run.
func (s *Server) writeStream(w *bufio.Writer, r *completionRun) {
	defer r.untrack()
	defer r.cancel()
	err := s.writeTokens(w, r)
	if err != nil {
		r.cancel()
		for range r.tokens {
			// Drains the channel; the run stops at its next token.
			continue
		}
		s.recordFailure(r.info, &outcome.Error{Kind: outcome.Unknown, Cause: outcome.CauseCallerLeft, Message: err.Error()})
		return
	}
	s.writeFinalEvent(w, r, <-r.done)
}

// writeTokens writes tokens until the run ends. An error means that the caller has
// disconnected.
func (s *Server) writeTokens(w *bufio.Writer, r *completionRun) error {
	last := r.info.start
	if r.first != nil {
		s.observeToken(r, r.first.position, last)
		last = time.Now()
		if err := writeEvent(w, r.chunk(*r.first, "")); err != nil {
			return err
		}
	}
	keepAlive := time.NewTimer(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		keepAlive.Reset(keepAliveInterval)
		select {
		case t, ok := <-r.tokens:
			if !ok {
				return nil
			}
			s.observeToken(r, t.position, last)
			last = time.Now()
			if err := writeEvent(w, r.chunk(t, "")); err != nil {
				return err
			}
		case <-keepAlive.C:
			if err := writeAndFlush(w, ": waiting\n\n"); err != nil {
				return err
			}
		}
	}
}

// observeToken records the latency of a token. last is when the token before it was
// sent; it is not used for the first token.
func (s *Server) observeToken(r *completionRun, position int, last time.Time) {
	if position == 0 {
		s.meter.FirstToken(r.info.customer, r.info.class, time.Since(r.info.start))
		return
	}
	s.meter.BetweenTokens(r.info.customer, r.info.class, time.Since(last))
}

// writeFinalEvent ends the stream with the final chunk and "[DONE]", or with an error
// event. Write errors are ignored, since the caller has then disconnected.
func (s *Server) writeFinalEvent(w *bufio.Writer, r *completionRun, err error) {
	if err != nil {
		o := toOutcome(err)
		s.recordFailure(r.info, o)
		body, _ := json.Marshal(newErrorResponse(o))
		_ = writeAndFlush(w, "event: error\ndata: "+string(body)+"\n\n")
		return
	}
	s.meter.RequestDone(r.info.customer, r.info.class, outcome.Answered, "", time.Since(r.info.start))
	if writeEvent(w, r.chunk(token{}, "length")) == nil {
		_ = writeAndFlush(w, "data: [DONE]\n\n")
	}
}

func writeEvent(w *bufio.Writer, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return writeAndFlush(w, "data: "+string(body)+"\n\n")
}

func writeAndFlush(w *bufio.Writer, text string) error {
	if _, err := w.WriteString(text); err != nil {
		return err
	}
	return w.Flush()
}
