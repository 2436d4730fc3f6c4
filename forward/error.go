package forward

import "fmt"

// ErrorKind says what sort of failure an Error is.
type ErrorKind string

// KindNoRoom means that an engine of a path can't take a stream now.
const KindNoRoom ErrorKind = "no_room"

// Error is the only error type of this package; ErrNotSent marks those of others.
type Error struct {
	Op   string
	Kind ErrorKind
	// Address is the engine's, or "" if it is not known.
	Address string
}

var _ error = (*Error)(nil)

// Error formats the operation, the kind and the engine.
func (e *Error) Error() string { return fmt.Sprintf("forward %s: %s at %q", e.Op, e.Kind, e.Address) }
