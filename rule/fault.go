package rule

import (
	"fmt"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Fault is one error in a rule file. Line and Column start at 1.
type Fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// String formats the fault as line:column: message.
func (f Fault) String() string {
	return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message)
}

// Error holds all faults of a rule file, in file order.
type Error struct {
	Op     string
	Kind   Kind
	Faults []Fault
}

var _ error = (*Error)(nil)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindFaulty means that the rule file has the listed faults.
	KindFaulty Kind = "faulty"
)

// Error lists the faults, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return fmt.Sprintf("rule %s: %s\n%s", e.Op, e.Kind, strings.Join(lines, "\n"))
}

// maxEditDistance is the largest Levenshtein distance at which a known word is
// suggested for an unknown one.
const maxEditDistance = 3

// describeUnknown returns the message for a word that is not among the known
// ones. It suggests the nearest known word, or lists all of them if none is
// near.
func describeUnknown(category, got string, known []string) string {
	best := ""
	bestDistance := maxEditDistance + 1
	for _, k := range known {
		if distance := levenshtein.ComputeDistance(got, k); distance < bestDistance {
			best = k
			bestDistance = distance
		}
	}
	if best == "" {
		return fmt.Sprintf("got %s %q, want one of %s", category, got, strings.Join(known, ", "))
	}
	return fmt.Sprintf("got %s %q, did you mean %q?", category, got, best)
}
