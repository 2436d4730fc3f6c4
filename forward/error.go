package forward

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// KindNoRoom means that an engine of a path has no capacity for a stream now.
const KindNoRoom ErrorKind = "no_room"

// Error is the only error type of this package. An Upstream may also return errors
// of other packages, which wrap ErrNotSent if nothing was sent.
type Error struct {
	Op   string
	Kind ErrorKind
	// Address is that of the engine, or "" if it is not known.
	Address string
}

var _ error = (*Error)(nil)

// Error formats the operation, the kind and the address of the engine.
func (e *Error) Error() string { return fmt.Sprintf("forward %s: %s at %q", e.Op, e.Kind, e.Address) }
