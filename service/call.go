package service

import "time"

// The headers of calls and responses.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderRequestID = "Request-Id"
	HeaderNotRun    = "Not-Run"
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
	RequestID   string
	Attempt     int
	Key         string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Timeout     time.Duration
}
