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
	last    atomic.Int64
	streams int
}

// NewProgressTracker returns a tracker without streams.
func NewProgressTracker() *ProgressTracker {
	return &ProgressTracker{engines: map[string]*engineProgress{}}
}

// StreamProgress records the events of one stream on one path. It must be used by
// one goroutine only.
type StreamProgress struct {
	tracker *ProgressTracker
	hops    []string
	engines []*engineProgress
	last    time.Time
}

// Track counts a stream on the engines of its path until Untrack is called.
func (p *ProgressTracker) Track(r route.Route, now time.Time) *StreamProgress {
	b := &StreamProgress{tracker: p, last: now}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range r.Hops {
		e, ok := p.engines[h.Address]
		if !ok {
			e = &engineProgress{}
			p.engines[h.Address] = e
		}
		e.streams++
		b.hops = append(b.hops, h.Address)
		b.engines = append(b.engines, e)
	}
	return b
}

// RecordEvent records that an event passed through all engines of the path.
func (b *StreamProgress) RecordEvent(now time.Time) {
	b.last = now
	for _, e := range b.engines {
		e.last.Store(now.UnixNano())
	}
}

// SilentFor returns the time since the last event of the stream.
func (b *StreamProgress) SilentFor(now time.Time) time.Duration { return now.Sub(b.last) }

// Suspects returns, in path order, the engines through which no stream has received
// an event since this one stalled.
func (b *StreamProgress) Suspects() []string {
	var all []string
	for i, e := range b.engines {
		if e.last.Load() <= b.last.Add(transitMargin).UnixNano() {
			all = append(all, b.hops[i])
		}
	}
	return all
}

// Hops returns the addresses of the engines of the path; callers must not modify it.
func (b *StreamProgress) Hops() []string { return b.hops }

// Untrack removes the stream from the tracker.
func (b *StreamProgress) Untrack() {
	b.tracker.mu.Lock()
	defer b.tracker.mu.Unlock()
	for i, e := range b.engines {
		if e.streams--; e.streams <= 0 {
			delete(b.tracker.engines, b.hops[i])
		}
	}
	b.engines = nil
	b.hops = nil
}
