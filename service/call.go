package service

import "time"

// The headers of calls and responses.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderRequestID = "Request-Id"
	HeaderNotRun    = "Not-Run"
	// HeaderLimit is set on a response by an overloaded replica: the calls a second that it
	// takes from all hosts together.
	HeaderLimit = "Request-Limit"
)

// The values of HeaderNotRun.
const (
	// NotRun means that the call had no effect.
	NotRun = "true"
	// NotRunLeaving means that the call had no effect, and that the replica
	// accepts no new calls.
	NotRunLeaving = "leaving"
)

// Call is one call to a plain service.
type Call struct {
	// Replica identifies the incarnation of the replica. It is not sent.
	Replica     string
	RequestID   string
	Attempt     int
	Key         string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Timeout     time.Duration
}
