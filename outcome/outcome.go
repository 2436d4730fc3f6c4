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

// The causes of a missing answer. Home is the host that issued an idempotency key
// and alone may send its call.
const (
	// CauseInvalidField means that the field in Error.Field is invalid.
	CauseInvalidField Cause = "field"
	// CauseNoRule means that no rule names the model or the path.
	CauseNoRule Cause = "no_rule"
	// CauseLimit means that the customer is over its rate limit.
	CauseLimit Cause = "limit"
	// CauseBusy means that the home has no room for another key.
	CauseBusy Cause = "busy"
	// CauseTooLarge means that the body exceeds its limit, and CauseHeaderTooLarge that the
	// header does.
	CauseTooLarge       Cause = "too_large"
	CauseHeaderTooLarge Cause = "header_too_large"
	// CauseMemory means that the host has no memory for the request, and CauseSlowBody
	// that its body arrived too slowly.
	CauseMemory   Cause = "memory"
	CauseSlowBody Cause = "slow_body"
	CauseDeadline Cause = "deadline"
	// CauseEndpointLimit means that the endpoints take no more requests for a moment.
	CauseEndpointLimit Cause = "endpoint_limit"
	// CauseNoEndpoint means that there was no endpoint for the request, or that
	// none of those tried can have received it.
	CauseNoEndpoint Cause = "no_endpoint"
	// CauseNotSent means that the call certainly did not leave this host.
	CauseNotSent Cause = "not_sent"
	// CauseRefused and CauseLeaving mean that the endpoint reported that it did
	// not run the request, for CauseLeaving because it accepts no new work.
	CauseRefused  Cause = "refused_by_endpoint"
	CauseLeaving  Cause = "endpoint_leaving"
	CauseNoAnswer Cause = "no_answer"
	// CauseStopping means that this host, or the home, is shutting down.
	CauseStopping Cause = "stopping"
	// CauseKeyMissing means that a call that needs a key has none, or one that
	// no host issued.
	CauseKeyMissing Cause = "key_missing"
	CauseKeyReused  Cause = "key_reused"
	CauseKeyExpired Cause = "key_expired"
	// CauseHomeGone means that the home has stopped or restarted, and
	// CauseHomeSilent that it did not answer.
	CauseHomeGone   Cause = "home_gone"
	CauseHomeSilent Cause = "home_silent"
	// CauseQuarantined means that a part of the prompt may crash engines.
	CauseQuarantined Cause = "quarantined"
	// CauseCallerLeft means that the caller disconnected.
	CauseCallerLeft Cause = "caller_left"
	// CauseInterrupted means that the answer could not be completed after an
	// engine may have received the request.
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
