package history

import (
	"slices"
	"time"

	"bulrushshed/outcome"
)

// Attempt is one attempt of a call and the outcome that was reported to its caller.
// Entry is the address of the entry host that the caller sent it to.
type Attempt struct {
	Entry string       `json:"entry"`
	Kind  outcome.Kind `json:"kind"`
	At    time.Time    `json:"at"`
}

// Call is a non-idempotent call under one key, with all attempts of its caller.
type Call struct {
	Key      string    `json:"key"`
	Attempts []Attempt `json:"sends"`
}

// Execution is one execution of a call by an endpoint.
type Execution struct {
	Key     string    `json:"key"`
	Replica string    `json:"replica"`
	At      time.Time `json:"at"`
}

// CallReport counts calls by final outcome and lists the violations found.
type CallReport struct {
	// Total is the number of calls, each under a key of its own.
	Total    int `json:"calls"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Duplicated lists the keys of calls that ran more than once.
	Duplicated []string `json:"doubled"`
	// FalseNotRun lists the keys of calls that were reported as not run, at
	// any attempt, although they ran, before or after that report.
	FalseNotRun []string `json:"false_not_run"`
	// AnsweredNotRun lists the keys of calls that were answered but never ran.
	AnsweredNotRun []string `json:"phantom"`
}

// HasViolations reports whether an invariant was violated.
func (r CallReport) HasViolations() bool {
	return len(r.Duplicated) > 0 || len(r.FalseNotRun) > 0 || len(r.AnsweredNotRun) > 0
}

// CheckCalls compares the calls with the executions.
func CheckCalls(calls []Call, executions []Execution) CallReport {
	count := map[string]int{}
	for _, e := range executions {
		count[e.Key]++
	}
	r := CallReport{Total: len(calls)}
	for _, c := range calls {
		r.addCall(c, count[c.Key])
	}
	for key, n := range count {
		if n > 1 {
			r.Duplicated = append(r.Duplicated, key)
		}
	}
	return r
}

func (r *CallReport) addCall(c Call, executions int) {
	switch c.FinalOutcome() {
	case outcome.Answered:
		r.Answered++
		if executions == 0 {
			r.AnsweredNotRun = append(r.AnsweredNotRun, c.Key)
		}
	case outcome.NotRun:
		r.NotRun++
	default:
		r.Unknown++
	}
	reportedNotRun := slices.ContainsFunc(c.Attempts, func(a Attempt) bool { return a.Kind == outcome.NotRun })
	if reportedNotRun && executions > 0 {
		r.FalseNotRun = append(r.FalseNotRun, c.Key)
	}
}

// FinalOutcome returns the outcome that the caller knows after the last attempt:
// Answered if any attempt was answered, otherwise NotRun if any was reported as not
// run, otherwise Unknown.
func (c Call) FinalOutcome() outcome.Kind {
	final := outcome.Unknown
	for _, a := range c.Attempts {
		if a.Kind == outcome.Answered {
			return a.Kind
		}
		if a.Kind == outcome.NotRun {
			final = a.Kind
		}
	}
	return final
}
