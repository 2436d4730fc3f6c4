package caller

import (
	"bufio"
	"encoding/json"
	"time"

	"bulrushshed/outcome"
)

// keepAliveEvery is the time after which a silent stream sends a comment, by
// which a caller that has left is noticed.
const keepAliveEvery = 500 * time.Millisecond

// write passes tokens on until the run ends or the caller has left, and then
// ends the run.
func (s *Server) write(w *bufio.Writer, r *running) {
	defer r.depart()
	defer r.cancel()
	err := s.writeTokens(w, r)
	if err != nil {
		r.cancel()
		for range r.tokens {
			// The run sees its end at the next token.
			continue
		}
		s.note(r.in, &outcome.Error{Kind: outcome.Unknown, Cause: outcome.CauseCallerLeft, Message: err.Error()})
		return
	}
	s.writeEnd(w, r, <-r.done)
}

// writeTokens returns an error only if the caller has left.
func (s *Server) writeTokens(w *bufio.Writer, r *running) error {
	last := r.in.start
	if r.first != nil {
		s.meterToken(r, r.first.position, last)
		last = time.Now()
		if err := writeData(w, r.chunk(*r.first, "")); err != nil {
			return err
		}
	}
	alive := time.NewTimer(keepAliveEvery)
	defer alive.Stop()
	for {
		alive.Reset(keepAliveEvery)
		select {
		case t, ok := <-r.tokens:
			if !ok {
				return nil
			}
			s.meterToken(r, t.position, last)
			last = time.Now()
			if err := writeData(w, r.chunk(t, "")); err != nil {
				return err
			}
		case <-alive.C:
			if err := writeText(w, ": waiting\n\n"); err != nil {
				return err
			}
		}
	}
}

func (s *Server) meterToken(r *running, position int, last time.Time) {
	if position == 0 {
		s.meter.FirstToken(r.in.customer, r.in.class, time.Since(r.in.start))
		return
	}
	s.meter.BetweenTokens(r.in.customer, r.in.class, time.Since(last))
}

// writeEnd closes the stream with a completion event or an error event. A
// caller that has left meanwhile needs neither.
func (s *Server) writeEnd(w *bufio.Writer, r *running, err error) {
	if err != nil {
		o := asOutcome(err)
		s.note(r.in, o)
		body, _ := json.Marshal(errorBody(o))
		_ = writeText(w, "event: error\ndata: "+string(body)+"\n\n")
		return
	}
	s.meter.Answered(r.in.customer, r.in.class, outcome.Answered, "", time.Since(r.in.start))
	if writeData(w, r.chunk(token{}, "length")) == nil {
		_ = writeText(w, "data: [DONE]\n\n")
	}
}

func writeData(w *bufio.Writer, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return writeText(w, "data: "+string(body)+"\n\n")
}

func writeText(w *bufio.Writer, text string) error {
	if _, err := w.WriteString(text); err != nil {
		return err
	}
	return w.Flush()
}
