package pipeline

import (
	"sync"
	"sync/atomic"
	"time"

	"bulrushshed/route"
)

// transit is how much later than an engine's end an event that it still had a
// part in may come.
const transit = 40 * time.Millisecond

// Pulse compares streams that share engines: an engine that holds a silent
// stream up lets no other stream through either. It is safe for concurrent use.
type Pulse struct {
	mu      sync.Mutex
	engines map[string]*engineBeat
}

// engineBeat is when the last event came through an engine, as Unix time in ns,
// and how many streams use it.
type engineBeat struct {
	last    atomic.Int64
	streams int
}

// NewPulse returns a pulse that knows of no streams.
func NewPulse() *Pulse { return &Pulse{engines: map[string]*engineBeat{}} }

// Beat is the events of one stream on one path; one goroutine uses it.
type Beat struct {
	pulse   *Pulse
	hops    []string
	engines []*engineBeat
	last    time.Time
}

// Join counts a stream on the engines of its path until Leave.
func (p *Pulse) Join(r route.Route, now time.Time) *Beat {
	b := &Beat{pulse: p, last: now}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range r.Hops {
		e, ok := p.engines[h.Address]
		if !ok {
			e = &engineBeat{}
			p.engines[h.Address] = e
		}
		e.streams++
		b.hops = append(b.hops, h.Address)
		b.engines = append(b.engines, e)
	}
	return b
}

// Event notes that an event came through all engines of the path.
func (b *Beat) Event(now time.Time) {
	b.last = now
	for _, e := range b.engines {
		e.last.Store(now.UnixNano())
	}
}

// Since returns how long the stream has been silent.
func (b *Beat) Since(now time.Time) time.Duration { return now.Sub(b.last) }

// Suspects returns the engines of the path through which no stream has got an
// event since this one fell silent, in the order of the path.
func (b *Beat) Suspects() []string {
	var all []string
	for i, e := range b.engines {
		if e.last.Load() <= b.last.Add(transit).UnixNano() {
			all = append(all, b.hops[i])
		}
	}
	return all
}

// Hops returns the engines of the path; it is not to be changed.
func (b *Beat) Hops() []string { return b.hops }

// Leave ends the part of the stream.
func (b *Beat) Leave() {
	b.pulse.mu.Lock()
	defer b.pulse.mu.Unlock()
	for i, e := range b.engines {
		if e.streams--; e.streams <= 0 {
			delete(b.pulse.engines, b.hops[i])
		}
	}
	b.engines = nil
	b.hops = nil
}
