package servicehttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"bulrushshed/jsonhttp"
	"bulrushshed/outcome"
	"bulrushshed/ratelimit"
	"bulrushshed/service"
)

// LimitRecorder records the limits that replicas name.
type LimitRecorder interface {
	// Record records what an answer of a replica's incarnation says of its limit.
	Record(incarnation string, n ratelimit.Naming, sentAt, now time.Time)
}

// Client sends calls to services; it is safe for concurrent use.
type Client struct {
	http   *jsonhttp.Client
	limits LimitRecorder
	dial   Dial
}

// Dial opens a connection to an address. No byte may have been sent if it fails.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// NewClient returns a client that never retries a call. It passes on the limits that the
// answers name, and opens its connections with dial.
func NewClient(limits LimitRecorder, dial Dial) *Client {
	opts := jsonhttp.DefaultOptions()
	opts.Dial = dial
	return &Client{http: jsonhttp.NewClient(opts), limits: limits, dial: dial}
}

// Send sends a call once, on a connection of its own, which is closed when ctx is
// done. The error is an *outcome.Error.
func (c *Client) Send(ctx context.Context, address string, call service.Call) (outcome.Answer, error) {
	sentAt := time.Now()
	resp, err := c.http.Exchange(ctx, newRequest(address, call))
	if err == nil {
		c.limits.Record(call.Replica, ratelimit.ParseNaming(resp.Header(service.HeaderLimit)), sentAt, time.Now())
	}
	return parseResponse(resp, err)
}

// IsDown reports whether the connection to an address is refused.
func (c *Client) IsDown(ctx context.Context, address string) bool {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

func newRequest(address string, call service.Call) jsonhttp.Request {
	headers := map[string]string{service.HeaderRequestID: call.RequestID}
	if call.Key != "" {
		headers[service.HeaderKey] = call.Key
	}
	if call.ContentType != "" {
		headers["Content-Type"] = call.ContentType
	}
	return jsonhttp.Request{
		Method: call.Method, URL: "http://" + address + call.Path,
		Headers: headers, Body: call.Body, Timeout: call.Timeout,
	}
}

// notRunCauses maps the values of service.HeaderNotRun, by which a service
// reports that it did not run a call, to causes.
var notRunCauses = map[string]outcome.Cause{
	service.NotRun:        outcome.CauseRefused,
	service.NotRunLeaving: outcome.CauseLeaving,
}

// parseResponse converts the result of an exchange to an answer or an
// *outcome.Error.
func parseResponse(resp *jsonhttp.Response, err error) (outcome.Answer, error) {
	if err != nil {
		return outcome.Answer{}, outcomeError(err)
	}
	cause, isNotRun := notRunCauses[strings.ToLower(resp.Header(service.HeaderNotRun))]
	if isNotRun && resp.Status >= http.StatusBadRequest {
		return outcome.Answer{}, &outcome.Error{Op: "call", Kind: outcome.NotRun, Cause: cause, Message: string(resp.Body)}
	}
	return outcome.Answer{Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body}, nil
}

// outcomeError converts the error of an exchange: the outcome is NotRun if the call
// certainly did not leave this host, and Unknown if the service may have run it.
func outcomeError(err error) error {
	var e *jsonhttp.Error
	if errors.As(err, &e) && e.Kind == jsonhttp.KindNotSent {
		return &outcome.Error{Op: "call", Kind: outcome.NotRun, Cause: outcome.CauseNotSent, Message: err.Error()}
	}
	return &outcome.Error{Op: "call", Kind: outcome.Unknown, Cause: outcome.CauseNoAnswer, Message: err.Error()}
}
