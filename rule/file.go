package rule

import (
	"strings"
	"time"
)

// Priority orders classes; a higher one is served first.
type Priority int

// The priorities a class may have.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
)

// Objective says what a model's operators weigh more.
type Objective string

// The objectives a model may have.
const (
	ObjectiveRecovery   Objective = "recovery"
	ObjectiveThroughput Objective = "throughput"
)

// Origin says where a rule stands in its file and who asked for it.
type Origin struct {
	Line int    `json:"line"`
	Who  string `json:"who"`
	Why  string `json:"why"`
}

// Limit bounds what one customer may start, in requests per second.
type Limit struct {
	Customer string  `json:"customer"`
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	Origin   Origin  `json:"origin"`
}

// Class says how calls of one path prefix are to be treated.
type Class struct {
	Name       string        `json:"name"`
	Path       string        `json:"path"`
	Service    string        `json:"service"`
	Idempotent bool          `json:"idempotent"`
	Deadline   time.Duration `json:"deadline"`
	Priority   Priority      `json:"priority"`
	Origin     Origin        `json:"origin"`
}

// Model names a model, the version in use and its number of layers.
type Model struct {
	Name string `json:"name"`
	// Version is the one in use, with a plus sign and the adapter behind it
	// if there is one: engines hold both or neither.
	Version   string        `json:"version"`
	Layers    int           `json:"layers"`
	Objective Objective     `json:"objective"`
	Deadline  time.Duration `json:"deadline"`
	// Placed is whether the system decides which layers engines hold.
	Placed bool   `json:"placed"`
	Origin Origin `json:"origin"`
}

// Endpoint says what an endpoint, or all that share a name prefix, can be
// trusted with.
type Endpoint struct {
	Name       string `json:"name"`
	Fences     bool   `json:"fences"`
	HonorsKeys bool   `json:"honors_keys"`
	// Standby keeps an engine out of service, with what it has loaded.
	Standby bool   `json:"standby"`
	Origin  Origin `json:"origin"`
}

// File is a parsed rule file; it is never changed after Parse returned it.
type File struct {
	Limits    []Limit    `json:"limits"`
	Classes   []Class    `json:"classes"`
	Models    []Model    `json:"models"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Limit returns the limit of a customer, if one is set.
func (f *File) Limit(customer string) (Limit, bool) {
	for _, l := range f.Limits {
		if l.Customer == customer {
			return l, true
		}
	}
	return Limit{}, false
}

// Class returns the class with the longest path that covers the given one.
func (f *File) Class(path string) (Class, bool) {
	var best Class
	found := false
	for _, c := range f.Classes {
		if covers(c.Path, path) && (!found || len(c.Path) > len(best.Path)) {
			best = c
			found = true
		}
	}
	return best, found
}

// Model returns the model of a name.
func (f *File) Model(name string) (Model, bool) {
	for _, m := range f.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Endpoint returns the rule whose name is the longest match for an endpoint;
// without one, nothing is trusted.
func (f *File) Endpoint(name string) Endpoint {
	var best Endpoint
	for _, e := range f.Endpoints {
		if covers(e.Name, name) && len(e.Name) >= len(best.Name) {
			best = e
		}
	}
	return best
}

// covers reports whether a pattern, a plain name or a prefix that ends in a
// star, matches s.
func covers(pattern, s string) bool {
	prefix, ok := strings.CutSuffix(pattern, "*")
	if !ok {
		return pattern == s
	}
	return strings.HasPrefix(s, prefix)
}
