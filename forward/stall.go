package forward

import (
	"context"
	"sync"
	"time"

	"bulrushshed/replica"
)

const (
	// askTimeout bounds a question to an engine.
	askTimeout = 250 * time.Millisecond
	// askPause is the least time between two questions to one engine.
	askPause = 100 * time.Millisecond
)

// stalls remembers which engines were asked lately, so that streams with the
// same first engine share a question. It is safe for concurrent use.
type stalls struct {
	mu    sync.Mutex
	asked map[string]time.Time
}

func newStalls() *stalls { return &stalls{asked: map[string]time.Time{}} }

// mayAsk reports whether an engine may be asked now, and counts it if so.
func (s *stalls) mayAsk(r replica.Replica, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.asked[r.Address]) < askPause {
		return false
	}
	s.asked[r.Address] = now
	return true
}

// stalled looks for the engine that holds the stream up. It returns why the
// attempt is to be given up, or "" to wait on.
func (s *stream) stalled() string {
	now := time.Now()
	s.at.asked++
	if now.Sub(s.quiet) > silence {
		s.f.Planner.Suspect(s.at.first.Address, now.Add(shunTime))
		return "silent"
	}
	if !s.f.stalls.mayAsk(s.at.first, now) {
		return ""
	}
	ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
	defer cancel()
	dead, err := s.f.Upstream.Stalled(ctx, s.at.first, s.req.ID)
	if err != nil {
		if s.ctx.Err() != nil {
			return ""
		}
		s.f.Log.Warn("forward: suspecting", "request", s.req.ID, "address", s.at.first.Address, "cause", err.Error(), "quiet_ms", now.Sub(s.quiet).Milliseconds())
		s.f.Planner.Suspect(s.at.first.Address, now.Add(suspectTime))
		return "first_engine_gone"
	}
	for _, address := range dead {
		s.f.Log.Warn("forward: suspecting", "request", s.req.ID, "address", address, "cause", "stalled", "quiet_ms", now.Sub(s.quiet).Milliseconds())
		s.f.Planner.Suspect(address, now.Add(suspectTime))
		s.tried[address] = true
	}
	if len(dead) > 0 {
		return "stalled"
	}
	return ""
}
