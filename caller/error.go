package caller

import (
	"errors"

	"github.com/gofiber/fiber/v3"

	"bulrushshed/outcome"
)

// errorResponse is the body of an error response.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind         outcome.Kind  `json:"kind"`
	Cause        outcome.Cause `json:"cause"`
	Field        string        `json:"field,omitempty"`
	Message      string        `json:"message"`
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
}

func newErrorResponse(o *outcome.Error) errorResponse {
	return errorResponse{Error: errorDetail{
		Kind: o.Kind, Cause: o.Cause, Field: o.Field, Message: o.Message, RetryAfterMS: o.RetryAfter.Milliseconds(),
	}}
}

// toOutcome returns err as an *outcome.Error. The outcome of any other error is
// unknown.
func toOutcome(err error) *outcome.Error {
	var o *outcome.Error
	if errors.As(err, &o) {
		return o
	}
	return &outcome.Error{Op: "answer", Kind: outcome.Unknown, Cause: outcome.CauseNoAnswer, Message: err.Error()}
}

// httpStatus returns the HTTP status of an outcome.
func httpStatus(o *outcome.Error) int {
	switch o.Kind {
	case outcome.Invalid:
		return invalidStatus(o.Cause)
	case outcome.NotRun:
		switch o.Cause {
		case outcome.CauseLimit:
			return fiber.StatusTooManyRequests
		case outcome.CauseSlowBody:
			return fiber.StatusRequestTimeout
		default:
		}
		return fiber.StatusServiceUnavailable
	case outcome.Answered, outcome.Unknown:
	}
	if o.Cause == outcome.CauseDeadline {
		return fiber.StatusGatewayTimeout
	}
	return fiber.StatusBadGateway
}

func invalidStatus(cause outcome.Cause) int {
	switch cause {
	case outcome.CauseNoRule:
		return fiber.StatusNotFound
	case outcome.CauseTooLarge:
		return fiber.StatusRequestEntityTooLarge
	case outcome.CauseHeaderTooLarge:
		return fiber.StatusRequestHeaderFieldsTooLarge
	case outcome.CauseKeyReused:
		return fiber.StatusUnprocessableEntity
	default:
		return fiber.StatusBadRequest
	}
}
