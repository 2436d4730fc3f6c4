package outcome

import (
	"fmt"
	"time"
)

// Kind is the result of a request.
type Kind string

// The kinds of outcome.
const (
	// Answered means that there is a complete answer.
	Answered Kind = "answered"
	// NotRun means that the request certainly did not run.
	NotRun Kind = "not_run"
	// Unknown means that the request may have run.
	Unknown Kind = "outcome_unknown"
	// Invalid means that the request is malformed and did not run.
	Invalid Kind = "invalid"
)

// Cause says why a request has no answer. The set is small and fixed, so that it
// can label a metric.
type Cause string

// The causes of a missing answer.
const (
	CauseField       Cause = "field"
	CauseNoRule      Cause = "no_rule"
	CauseLimit       Cause = "limit"
	CauseBusy        Cause = "busy"
	CauseDeadline    Cause = "deadline"
	CauseNoEndpoint  Cause = "no_endpoint"
	CauseNotSent     Cause = "not_sent"
	CauseRefused     Cause = "refused_by_endpoint"
	CauseLeaving     Cause = "endpoint_leaving"
	CauseNoAnswer    Cause = "no_answer"
	CauseStopping    Cause = "stopping"
	CauseKeyMissing  Cause = "key_missing"
	CauseKeyReused   Cause = "key_reused"
	CauseKeyExpired  Cause = "key_expired"
	CauseHomeGone    Cause = "home_gone"
	CauseHomeSilent  Cause = "home_silent"
	CauseCallerLeft  Cause = "caller_left"
	CauseInterrupted Cause = "interrupted"
)

// Error describes a request that has no answer.
type Error struct {
	Op    string
	Kind  Kind
	Cause Cause
	// Attempt is the number of the last attempt, or 0 if there was none.
	Attempt int
	// Field names the invalid field, if Kind is Invalid.
	Field   string
	Message string
	// RetryAfter is the delay after which the caller may retry; 0 means at once.
	RetryAfter time.Duration
}

var _ error = (*Error)(nil)

// Error formats the operation, the kind, the cause and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s): %s", e.Op, e.Kind, e.Cause, e.Message)
}

// Answer is a complete answer of an endpoint, with any status.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}
