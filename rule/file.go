package rule

import (
	"strings"
	"time"
)

// Priority ranks classes. Higher priorities are served first.
type Priority int

// The priorities of a class.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
)

// Objective is the goal that admission and routing favor for a model.
type Objective string

// The objectives of a model.
const (
	// ObjectiveRecovery favors a low time per token: fewer streams are admitted
	// per slot, and the fastest route on idle endpoints is considered too.
	ObjectiveRecovery Objective = "recovery"
	// ObjectiveThroughput favors the tokens per second of all streams together:
	// enough streams are admitted to keep all engines busy.
	ObjectiveThroughput Objective = "throughput"
)

// Origin records the line of a rule in its file, who requested it and why.
type Origin struct {
	Line int    `json:"line"`
	Who  string `json:"who"`
	Why  string `json:"why"`
}

// Limit is the rate limit of one customer, in requests per second.
type Limit struct {
	Customer string  `json:"customer"`
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	Origin   Origin  `json:"origin"`
}

// Class defines how calls whose path matches a pattern are handled.
type Class struct {
	Name       string        `json:"name"`
	Path       string        `json:"path"`
	Service    string        `json:"service"`
	Idempotent bool          `json:"idempotent"`
	Deadline   time.Duration `json:"deadline"`
	Priority   Priority      `json:"priority"`
	Origin     Origin        `json:"origin"`
}

// Model defines a model, its version in use and its number of layers.
type Model struct {
	Name string `json:"name"`
	// Version is the version in use. If there is an adapter, it is appended
	// after a plus sign: an engine holds both or neither.
	Version   string        `json:"version"`
	Layers    int           `json:"layers"`
	Objective Objective     `json:"objective"`
	Deadline  time.Duration `json:"deadline"`
	// AutoPlacement is set if layers are assigned to engines automatically.
	AutoPlacement bool   `json:"placed"`
	Origin        Origin `json:"origin"`
}

// Endpoint declares the guarantees of one endpoint, or of all endpoints that
// share a name prefix.
type Endpoint struct {
	Name string `json:"name"`
	// Fences is set if the endpoint rejects orders with an old fencing token.
	Fences bool `json:"fences"`
	// HonorsKeys is set if the endpoint runs each idempotency key at most once.
	HonorsKeys bool `json:"honors_keys"`
	// Standby keeps an engine out of service with its layers loaded.
	Standby bool   `json:"standby"`
	Origin  Origin `json:"origin"`
}

// File is a parsed rule file. It is immutable.
type File struct {
	Limits    []Limit    `json:"limits"`
	Classes   []Class    `json:"classes"`
	Models    []Model    `json:"models"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Limit returns the limit of a customer, if there is one.
func (f *File) Limit(customer string) (Limit, bool) {
	for _, l := range f.Limits {
		if l.Customer == customer {
			return l, true
		}
	}
	return Limit{}, false
}

// Class returns the class with the longest path pattern that matches path.
func (f *File) Class(path string) (Class, bool) {
	var best Class
	found := false
	for _, c := range f.Classes {
		if matchesPattern(c.Path, path) && (!found || len(c.Path) > len(best.Path)) {
			best = c
			found = true
		}
	}
	return best, found
}

// Model returns the model with the given name.
func (f *File) Model(name string) (Model, bool) {
	for _, m := range f.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Endpoint returns the rule with the longest name pattern that matches an
// endpoint. If none matches, it returns the zero Endpoint, which guarantees
// nothing.
func (f *File) Endpoint(name string) Endpoint {
	var best Endpoint
	for _, e := range f.Endpoints {
		if matchesPattern(e.Name, name) && len(e.Name) >= len(best.Name) {
			best = e
		}
	}
	return best
}

// matchesPattern reports whether s matches a pattern, which is either a literal
// name or a prefix followed by a star.
func matchesPattern(pattern, s string) bool {
	prefix, ok := strings.CutSuffix(pattern, "*")
	if !ok {
		return pattern == s
	}
	return strings.HasPrefix(s, prefix)
}
