package http1

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindCut means that the connection ended or failed within the head of a response, or
	// that it was reset where a body would end with the connection.
	KindCut Kind = "cut"
	// KindMalformed means that the bytes received are no response.
	KindMalformed Kind = "malformed"
	// KindTooLarge means that the head of a response exceeds its bounds.
	KindTooLarge Kind = "too_large"
)

// Error is the only error type of this package.
type Error struct {
	Op    string
	Kind  Kind
	Cause error
}

var _ error = (*Error)(nil)

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("http1 %s: %s: %v", e.Op, e.Kind, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

func malformed(format string, args ...any) *Error {
	return &Error{Op: "read head", Kind: KindMalformed, Cause: fmt.Errorf(format, args...)}
}
