package relay

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindUnreachable means that the relaying host does not reach the replica, or may not
	// connect to it.
	KindUnreachable Kind = "unreachable"
	// KindBusy means that the relaying host relays as many connections as it may.
	KindBusy Kind = "busy"
	// KindNoHost means that no host could be asked.
	KindNoHost Kind = "no_host"
)

// Error is the only error type of this package.
type Error struct {
	Op    string
	Kind  Kind
	Cause error
}

var _ error = (*Error)(nil)

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("relay %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("relay %s: %s: %v", e.Op, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
