package route

import (
	"fmt"
	"time"
)

// Range is the half-open range of layers [From, To).
type Range struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Len returns the number of layers in the range.
func (r Range) Len() int { return r.To - r.From }

// Covers reports whether the range contains all layers of s.
func (r Range) Covers(s Range) bool { return r.From <= s.From && s.To <= r.To }

// Holding describes the layers of a model that one endpoint holds, and the
// endpoint's speed and load.
type Holding struct {
	Endpoint string `json:"endpoint"`
	Address  string `json:"address"`
	// Incarnation identifies one run of the endpoint's process. A later run has a
	// higher number.
	Incarnation   int64  `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	Model         string `json:"model"`
	// Version is the model version, with "+" and the adapter appended if there is
	// one.
	Version string `json:"version"`
	Layers  Range  `json:"layers"`
	// LayerTime is the time to run one layer for one token on an idle endpoint.
	LayerTime time.Duration `json:"layer_time"`
	// Slots is the number of sequences that the endpoint can run concurrently.
	Slots int `json:"slots"`
	// Load is the number of sequences that the endpoint is running or queueing.
	Load float64 `json:"load"`
}

// Hop is one step of a route: an endpoint and the layers that it runs.
type Hop struct {
	Endpoint    string `json:"endpoint"`
	Address     string `json:"address"`
	Incarnation int64  `json:"incarnation"`
	Layers      Range  `json:"layers"`
	// Time is the expected time of one token for this hop on an idle endpoint.
	Time time.Duration `json:"-"`
}

// EngineIncarnation identifies the run of the engine's process.
func (h Hop) EngineIncarnation() string { return fmt.Sprintf("%s/%d", h.Endpoint, h.Incarnation) }

// Route is a sequence of hops that runs each layer of one model version once.
type Route struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Hops    []Hop  `json:"hops"`
	// TokenTime is the expected time of one token.
	TokenTime time.Duration `json:"token_time"`
}

// Links returns the links between consecutive hops.
func (r Route) Links() []Link {
	var links []Link
	for i := 1; i < len(r.Hops); i++ {
		links = append(links, Link{From: r.Hops[i-1].Endpoint, To: r.Hops[i].Endpoint})
	}
	return links
}

// Check returns an *Error of KindInvalid unless the hops cover [0, layers) in
// order, without gaps or overlaps.
func (r Route) Check(layers int) error {
	next := 0
	for i, h := range r.Hops {
		if h.Layers.From != next || h.Layers.Len() <= 0 {
			return &Error{Op: "check", Kind: KindInvalid, Reason: fmt.Sprintf(
				"hop %d has layers %d-%d, want a non-empty range from %d", i, h.Layers.From, h.Layers.To, next)}
		}
		next = h.Layers.To
	}
	if next != layers {
		return &Error{Op: "check", Kind: KindInvalid, Reason: fmt.Sprintf("route ends at layer %d, want %d", next, layers)}
	}
	return nil
}

// Uses reports whether a hop runs on the endpoint.
func (r Route) Uses(endpoint string) bool {
	for _, h := range r.Hops {
		if h.Endpoint == endpoint {
			return true
		}
	}
	return false
}

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindInvalid means that the hops leave a gap or overlap.
	KindInvalid Kind = "invalid"
	// KindNoRoute means that no usable route covers all layers.
	KindNoRoute Kind = "none"
)

// Error is the only error type of this package.
type Error struct {
	Op     string
	Kind   Kind
	Reason string
}

var _ error = (*Error)(nil)

// Error formats the operation, the kind and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("route %s: %s: %s", e.Op, e.Kind, e.Reason)
}
