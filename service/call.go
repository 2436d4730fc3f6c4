package service

import "time"

// The headers of calls and answers.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderRequestID = "Request-Id"
	HeaderNotRun    = "Not-Run"
)

// The values of HeaderNotRun.
const (
	// NotRun says that the call had no effect.
	NotRun = "true"
	// NotRunLeaving says so, too, and that the replica takes no new work.
	NotRunLeaving = "leaving"
)

// Call is one call of a plain service.
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
