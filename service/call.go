package service

import "time"

// The headers of calls and answers.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderRequestID = "Request-Id"
	HeaderNotRun    = "Not-Run"
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
