package pipeline

import (
	"sync"
	"sync/atomic"
	"time"

	"bulrushshed/route"
)

// transitMargin is how long an event may take to arrive after the failure of an
// engine that contributed to it.
const transitMargin = 40 * time.Millisecond

// ProgressTracker locates stalled engines by comparing streams that share engines:
// an engine that stalls one stream lets no other stream through either. It is safe
// for concurrent use.
type ProgressTracker struct {
	mu      sync.Mutex
	engines map[string]*engineProgress
}

// engineProgress has the Unix time, in ns, of the last event that passed through an
// engine, and the number of streams that use the engine.
type engineProgress struct {
	lastEvent atomic.Int64
	streams   int
}

// NewProgressTracker returns a tracker without streams.
func NewProgressTracker() *ProgressTracker {
	return &ProgressTracker{engines: map[string]*engineProgress{}}
}

// StreamProgress records the events of one stream on one path. It must be used by
// one goroutine only.
type StreamProgress struct {
	tracker   *ProgressTracker
	addresses []string
	engines   []*engineProgress
	lastEvent time.Time
}

// HasRecentEvent reports whether an event passed through an engine within a time before now.
func (t *ProgressTracker) HasRecentEvent(address string, within time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.engines[address]
	return ok && e.lastEvent.Load() > now.Add(-within).UnixNano()
}

// Track counts a stream on the engines of its path until Untrack is called.
func (t *ProgressTracker) Track(r route.Route, now time.Time) *StreamProgress {
	s := &StreamProgress{tracker: t, lastEvent: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range r.Hops {
		e, ok := t.engines[h.Address]
		if !ok {
			e = &engineProgress{}
			t.engines[h.Address] = e
		}
		e.streams++
		s.addresses = append(s.addresses, h.Address)
		s.engines = append(s.engines, e)
	}
	return s
}

// RecordEvent records that an event passed through all engines of the path.
func (s *StreamProgress) RecordEvent(now time.Time) {
	s.lastEvent = now
	for _, e := range s.engines {
		e.lastEvent.Store(now.UnixNano())
	}
}

// SinceLastEvent returns the time since the last event of the stream, or since Track if
// there was none.
func (s *StreamProgress) SinceLastEvent(now time.Time) time.Duration { return now.Sub(s.lastEvent) }

// StallCandidates returns the engines that may stall the stream: those through which
// no stream has received an event since this one stalled. They are in path order.
func (s *StreamProgress) StallCandidates() []string {
	var candidates []string
	for i, e := range s.engines {
		if e.lastEvent.Load() <= s.lastEvent.Add(transitMargin).UnixNano() {
			candidates = append(candidates, s.addresses[i])
		}
	}
	return candidates
}

// Addresses returns the addresses of the engines of the path; callers must not modify it.
func (s *StreamProgress) Addresses() []string { return s.addresses }

// Untrack removes the stream from the tracker.
func (s *StreamProgress) Untrack() {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	for i, e := range s.engines {
		if e.streams--; e.streams <= 0 {
			delete(s.tracker.engines, s.addresses[i])
		}
	}
	s.engines = nil
	s.addresses = nil
}
