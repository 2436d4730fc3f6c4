package usage

import "time"

// Load is what the other hosts use of the engines, and which engines they have found down
// or full. It does not change.
type Load struct {
	byKey  map[uint32]engineLoad
	hosts  int
	known  bool
	avoids map[EngineID]avoidance
	// validUntil is when the next report counts less or the next avoidance ends.
	validUntil time.Time
}

type engineLoad struct{ cells, streams float64 }

// avoidance is why an engine is avoided, and until when.
type avoidance struct {
	kind  Kind
	from  HostID
	until time.Time
}

// Known reports whether another host has reported recently. Otherwise nothing is known of
// the use of engines.
func (l *Load) Known() bool { return l.known }

// Hosts returns the number of other hosts that count.
func (l *Load) Hosts() int { return l.hosts }

// Cells returns the fraction of the KV cache of an engine that other hosts use.
func (l *Load) Cells(e EngineID) float64 { return l.byKey[e.key()].cells }

// Streams returns the number of streams of other hosts that begin at an engine.
func (l *Load) Streams(e EngineID) float64 { return l.byKey[e.key()].streams }

// AnyAvoided reports whether any engine may be avoided.
func (l *Load) AnyAvoided() bool { return len(l.avoids) > 0 }

// Avoided returns why an engine is avoided, which is Down or Full, and the host that found
// it out; ok is false if it is not avoided.
func (l *Load) Avoided(e EngineID, now time.Time) (k Kind, from HostID, ok bool) {
	a, found := l.avoids[e]
	if !found || !now.Before(a.until) {
		return 0, 0, false
	}
	return a.kind, a.from, true
}
