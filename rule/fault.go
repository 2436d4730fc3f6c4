package rule

import (
	"fmt"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Fault is one mistake in a rule file, at a line and column that start at 1.
type Fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// String formats a fault as line:column: message.
func (f Fault) String() string {
	return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message)
}

// Error holds every fault of a rule file, in the order of the file.
type Error struct {
	Op     string
	Kind   Kind
	Faults []Fault
}

var _ error = (*Error)(nil)

// Kind says what sort of failure an Error is.
type Kind string

// The kinds of Error.
const (
	KindFaulty Kind = "faulty"
)

// Error lists the faults, one a line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return fmt.Sprintf("rule %s: %s\n%s", e.Op, e.Kind, strings.Join(lines, "\n"))
}

// maxEdits is the number of edits up to which a word counts as a misspelling.
const maxEdits = 3

// unknown words a complaint about a word and names the nearest known one.
func unknown(what, got string, known []string) string {
	best := ""
	edits := maxEdits + 1
	for _, k := range known {
		if n := levenshtein.ComputeDistance(got, k); n < edits {
			best = k
			edits = n
		}
	}
	if best == "" {
		return fmt.Sprintf("got %s %q, want one of %s", what, got, strings.Join(known, ", "))
	}
	return fmt.Sprintf("got %s %q, did you mean %q?", what, got, best)
}
