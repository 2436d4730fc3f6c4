package ingresshttp

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Causes for which the server refuses requests, in log lines and metrics.
const (
	causeMemory    = "memory"
	causeTooLarge  = "too_large"
	causeSlowBody  = "slow_body"
	causeMalformed = "malformed"
	// causeHeaderTimeout means that the header did not arrive in time.
	causeHeaderTimeout = "header_timeout"
)

// minMemoryRetryAfter and maxMemoryRetryAfter bound the random time after which callers may
// return that were refused for want of memory, so that they do not return together.
const (
	minMemoryRetryAfter = 250 * time.Millisecond
	maxMemoryRetryAfter = 750 * time.Millisecond
)

// refusal is why a request was not read to its end.
type refusal struct {
	status int
	cause  string
	// err is the error of the connection or of the framing, or nil.
	err error
}

// newRefusal returns a refusal with the status of its cause.
func newRefusal(cause string, err error) *refusal {
	switch cause {
	case causeMemory:
		return &refusal{fasthttp.StatusServiceUnavailable, cause, err}
	case causeTooLarge:
		return &refusal{fasthttp.StatusRequestEntityTooLarge, cause, err}
	case causeSlowBody, causeHeaderTimeout:
		return &refusal{fasthttp.StatusRequestTimeout, cause, err}
	}
	return &refusal{fasthttp.StatusBadRequest, cause, err}
}

// refuse responds to a request whose body was not read to its end.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, r *refusal) {
	s.record(r)
	after := retryDelay(r.status)
	if s.writeRefusal != nil {
		s.writeRefusal(ctx, Refusal{Status: r.status, Cause: r.cause, RetryAfter: after})
		return
	}
	ctx.SetStatusCode(r.status)
	if after > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, formatSeconds(after))
	}
}

// record counts and logs a refusal.
func (s *Server) record(r *refusal) {
	// The connection reports the time-out of a header.
	if s.opts.CountRefusal != nil && r.cause != causeMalformed && r.cause != causeHeaderTimeout {
		s.opts.CountRefusal(r.cause)
	}
	omitted, ok := s.logLimiter.Allow(r.cause, time.Now())
	if !ok {
		return
	}
	text := ""
	if r.err != nil {
		text = r.err.Error()
	}
	s.opts.Log.Info("ingress: request refused", "cause", r.cause, "status", r.status, "error", text, "omitted", omitted)
}

func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
