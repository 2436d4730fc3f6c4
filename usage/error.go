package usage

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// The kinds of Error.
const (
	// KindMalformed means that a report is not complete.
	KindMalformed ErrorKind = "malformed"
	// KindVersion means that a report has another format.
	KindVersion ErrorKind = "version"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
}

var _ error = (*Error)(nil)

// Error formats the operation and the kind.
func (e *Error) Error() string { return fmt.Sprintf("usage %s: %s", e.Op, e.Kind) }
