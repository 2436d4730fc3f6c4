package servicehttp

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"bulrushshed/jsonhttp"
	"bulrushshed/outcome"
	"bulrushshed/service"
)

// Client calls services; it is safe for concurrent use.
type Client struct {
	http *jsonhttp.Client
}

// NewClient returns a client that never repeats a call by itself.
func NewClient() *Client {
	return &Client{http: jsonhttp.NewClient(jsonhttp.DefaultOptions())}
}

// Send makes a call once, on a connection of its own; ending ctx gives it up.
func (c *Client) Send(ctx context.Context, address string, call service.Call) (outcome.Answer, error) {
	resp, err := c.http.Exchange(ctx, request(address, call))
	return read(resp, err)
}

func request(address string, call service.Call) jsonhttp.Request {
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

// refusals are the values of the header by which a service says that it did
// not run a call.
var refusals = map[string]outcome.Cause{
	service.NotRun:        outcome.CauseRefused,
	service.NotRunLeaving: outcome.CauseLeaving,
}

// read turns an exchange into an answer or into what is known of the call.
func read(resp *jsonhttp.Response, err error) (outcome.Answer, error) {
	if err != nil {
		return outcome.Answer{}, failure(err)
	}
	cause, refused := refusals[strings.ToLower(resp.Header(service.HeaderNotRun))]
	if refused && resp.Status >= http.StatusBadRequest {
		return outcome.Answer{}, &outcome.Error{Op: "call", Kind: outcome.NotRun, Cause: cause, Message: string(resp.Body)}
	}
	return outcome.Answer{Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body}, nil
}

// failure tells a call that surely did not leave this host from one that may
// have run.
func failure(err error) error {
	var e *jsonhttp.Error
	if errors.As(err, &e) && e.Kind == jsonhttp.KindNotSent {
		return &outcome.Error{Op: "call", Kind: outcome.NotRun, Cause: outcome.CauseNotSent, Message: err.Error()}
	}
	return &outcome.Error{Op: "call", Kind: outcome.Unknown, Cause: outcome.CauseNoAnswer, Message: err.Error()}
}
