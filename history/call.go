package history

import (
	"slices"
	"time"

	"bulrushshed/outcome"
)

// Send is one copy of a call, and what its caller was told.
type Send struct {
	Entry string       `json:"entry"`
	Kind  outcome.Kind `json:"kind"`
	At    time.Time    `json:"at"`
}

// Call is a non-idempotent call with all copies that its caller sent.
type Call struct {
	Key   string `json:"key"`
	Sends []Send `json:"sends"`
}

// Execution is one run of a call by an endpoint.
type Execution struct {
	Key     string    `json:"key"`
	Replica string    `json:"replica"`
	At      time.Time `json:"at"`
}

// CallReport counts calls by what became of them.
type CallReport struct {
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Doubled are the keys that ran more than once.
	Doubled []string `json:"doubled"`
	// FalseNotRun are the keys of which a caller was ever told that they
	// did not run, though they did, before or after.
	FalseNotRun []string `json:"false_not_run"`
	// Phantom are the keys that were answered though they never ran.
	Phantom []string `json:"phantom"`
}

// Broken reports whether a promise was broken.
func (r CallReport) Broken() bool {
	return len(r.Doubled) > 0 || len(r.FalseNotRun) > 0 || len(r.Phantom) > 0
}

// CheckCalls holds all calls against all executions.
func CheckCalls(calls []Call, executions []Execution) CallReport {
	runs := map[string]int{}
	for _, e := range executions {
		runs[e.Key]++
	}
	r := CallReport{Calls: len(calls)}
	for _, c := range calls {
		r.add(c, runs[c.Key])
	}
	for key, n := range runs {
		if n > 1 {
			r.Doubled = append(r.Doubled, key)
		}
	}
	return r
}

func (r *CallReport) add(c Call, runs int) {
	switch c.Final() {
	case outcome.Answered:
		r.Answered++
		if runs == 0 {
			r.Phantom = append(r.Phantom, c.Key)
		}
	case outcome.NotRun:
		r.NotRun++
	default:
		r.Unknown++
	}
	refused := slices.ContainsFunc(c.Sends, func(s Send) bool { return s.Kind == outcome.NotRun })
	if refused && runs > 0 {
		r.FalseNotRun = append(r.FalseNotRun, c.Key)
	}
}

// Final is what a caller knows in the end: an answer settles the call, and so
// does a refusal.
func (c Call) Final() outcome.Kind {
	last := outcome.Unknown
	for _, s := range c.Sends {
		if s.Kind == outcome.Answered {
			return s.Kind
		}
		if s.Kind == outcome.NotRun {
			last = s.Kind
		}
	}
	return last
}
