package caller

import (
	"errors"

	"github.com/gofiber/fiber/v3"

	"bulrushshed/outcome"
)

// failure is the body of an answer that is not whole.
type failure struct {
	Error failureText `json:"error"`
}

type failureText struct {
	Kind         outcome.Kind  `json:"kind"`
	Cause        outcome.Cause `json:"cause"`
	Field        string        `json:"field,omitempty"`
	Message      string        `json:"message"`
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
}

func errorBody(o *outcome.Error) failure {
	return failure{Error: failureText{
		Kind: o.Kind, Cause: o.Cause, Field: o.Field, Message: o.Message, RetryAfterMS: o.RetryAfter.Milliseconds(),
	}}
}

// asOutcome takes any other error for a doubt.
func asOutcome(err error) *outcome.Error {
	var o *outcome.Error
	if errors.As(err, &o) {
		return o
	}
	return &outcome.Error{Op: "answer", Kind: outcome.Unknown, Cause: outcome.CauseNoAnswer, Message: err.Error()}
}

// status is the HTTP status of an outcome.
func status(o *outcome.Error) int {
	switch o.Kind {
	case outcome.Invalid:
		return invalidStatus(o.Cause)
	case outcome.NotRun:
		if o.Cause == outcome.CauseLimit {
			return fiber.StatusTooManyRequests
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
	case outcome.CauseKeyReused:
		return fiber.StatusUnprocessableEntity
	default:
		return fiber.StatusBadRequest
	}
}
