package caller

import (
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"bulrushshed/ingresshttp"
	"bulrushshed/outcome"
)

// refuse responds to a request that the server refuses before it has been read completely.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, r ingresshttp.Refusal) {
	o := refusalOutcome(r, len(ctx.Request.Header.Peek(HeaderKey)) > 0)
	s.meter.RequestDone("", "", o.Kind, o.Cause, 0)
	h := &ctx.Response.Header
	h.Set(HeaderOutcome, string(o.Kind))
	h.SetContentType(fiber.MIMEApplicationJSON)
	if o.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, retryAfterSeconds(o.RetryAfter))
	}
	body, _ := json.Marshal(newErrorResponse(o))
	ctx.SetStatusCode(httpStatus(o))
	ctx.SetBody(body)
}

// refusalOutcome returns the outcome of a refused request. That of a request with a key is
// not NotRun, which says that the key never runs: an earlier copy of the call may have run.
func refusalOutcome(r ingresshttp.Refusal, hasKey bool) *outcome.Error {
	o := &outcome.Error{Op: "read", Kind: outcome.NotRun, RetryAfter: r.RetryAfter}
	if hasKey {
		o.Kind = outcome.Unknown
	}
	switch r.Status {
	case fasthttp.StatusServiceUnavailable:
		o.Cause, o.Message = outcome.CauseMemory, "the host has no memory for the request"
	case fasthttp.StatusRequestTimeout:
		o.Cause, o.Message = outcome.CauseSlowBody, "the request arrived too slowly"
	case fasthttp.StatusRequestEntityTooLarge:
		o.Kind, o.Cause, o.Field, o.Message = outcome.Invalid, outcome.CauseTooLarge, "body", "the body exceeds the limit"
	case fasthttp.StatusRequestHeaderFieldsTooLarge:
		o.Kind, o.Cause, o.Field, o.Message = outcome.Invalid, outcome.CauseHeaderTooLarge, "header", "the header exceeds the limit"
	default:
		o.Kind, o.Cause, o.Field, o.Message = outcome.Invalid, outcome.CauseInvalidField, "request", "the request is malformed"
	}
	return o
}

// readBody returns the body of a request, decompressed. It is not copied otherwise.
func (s *Server) readBody(c fiber.Ctx) ([]byte, error) {
	req := c.Request()
	if encoding := string(req.Header.ContentEncoding()); encoding == "" || encoding == "identity" {
		return req.Body(), nil
	}
	if !ingresshttp.Reserve(c.RequestCtx(), s.opts.MaxBodyBytes) {
		return nil, refusalOutcome(ingresshttp.Refusal{Status: fasthttp.StatusServiceUnavailable, RetryAfter: time.Second}, c.Get(HeaderKey) != "")
	}
	body, err := req.BodyUncompressedWithLimit(s.opts.MaxBodyBytes)
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return nil, refusalOutcome(ingresshttp.Refusal{Status: fasthttp.StatusRequestEntityTooLarge}, false)
	case err != nil:
		return nil, invalid(fiber.HeaderContentEncoding, "got "+err.Error()+", want a body with this encoding")
	}
	return body, nil
}

// retryAfterSeconds returns the value of HeaderRetryAfter.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}
