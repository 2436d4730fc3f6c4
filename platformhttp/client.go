package platformhttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"bulrushshed/hostlog"
	"bulrushshed/jsonhttp"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindUnavailable means that the request had no effect.
	KindUnavailable Kind = "unavailable"
	// KindUnknown means that the request may have taken effect.
	KindUnknown Kind = "unknown"
)

// Error is the only error type of this package.
type Error struct {
	Op    string
	Kind  Kind
	Cause error
}

var _ error = (*Error)(nil)

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("platformhttp %s: %s: %v", e.Op, e.Kind, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Client sends requests to the platform at one base URL.
type Client struct {
	base    string
	timeout time.Duration
	http    *jsonhttp.Client
}

// NewClient returns a client for a base URL such as http://127.0.0.1:9000.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{base: base, timeout: timeout, http: jsonhttp.NewClient(jsonhttp.DefaultOptions())}
}

// appendResponse is the response to POST /v1/log.
type appendResponse struct {
	Offset int64 `json:"offset"`
}

// Append adds an entry to the log and returns its offset.
func (c *Client) Append(e hostlog.Entry) (int64, error) {
	var out appendResponse
	err := c.call("append", http.MethodPost, "/v1/log", e, &out)
	return out.Offset, err
}

// Read returns up to limit records, starting at an offset. If there are none yet,
// the platform waits up to wait for the first.
func (c *Client) Read(from int64, limit int, wait time.Duration) (hostlog.Page, error) {
	var out hostlog.Page
	path := fmt.Sprintf("/v1/log?from=%d&limit=%d&wait_ms=%d", from, limit, wait.Milliseconds())
	err := c.call("read", http.MethodGet, path, nil, &out)
	return out, err
}

// hostsResponse is the response to GET /v1/hosts.
type hostsResponse struct {
	Hosts []hostlog.Host `json:"hosts"`
}

// Hosts returns the platform's list of hosts and its ETag. If the list has not
// changed since the platform returned knownETag, Hosts returns nil and knownETag.
func (c *Client) Hosts(knownETag string) (hosts []hostlog.Host, etag string, err error) {
	r := jsonhttp.Request{Method: http.MethodGet, URL: c.base + "/v1/hosts", Timeout: c.timeout}
	if knownETag != "" {
		r.Headers = map[string]string{"If-None-Match": knownETag}
	}
	resp, err := c.http.Do(r)
	switch {
	case err != nil:
		return nil, "", &Error{Op: "hosts", Kind: errorKind(err), Cause: err}
	case resp.Status == http.StatusNotModified:
		return nil, knownETag, nil
	case resp.Status != http.StatusOK:
		return nil, "", &Error{Op: "hosts", Kind: KindUnavailable, Cause: fmt.Errorf("got status %d, want 200 or 304", resp.Status)}
	}
	var out hostsResponse
	if err := json.Unmarshal(resp.Body, &out); err != nil {
		return nil, "", &Error{Op: "hosts", Kind: KindUnavailable, Cause: err}
	}
	return out.Hosts, resp.Header("ETag"), nil
}

// Announce adds a host to the platform's list, or replaces its entry.
func (c *Client) Announce(h hostlog.Host) error {
	return c.call("announce", http.MethodPost, "/v1/hosts", h, nil)
}

func (c *Client) call(op, method, path string, in, out any) error {
	err := c.http.Call(jsonhttp.Request{Method: method, URL: c.base + path, Timeout: c.timeout}, in, out)
	if err == nil {
		return nil
	}
	return &Error{Op: op, Kind: errorKind(err), Cause: err}
}

// errorKind tells whether a failed request may have taken effect. The platform
// responds with 429 or 503 only if the request had no effect.
func errorKind(err error) Kind {
	var e *jsonhttp.Error
	if !errors.As(err, &e) {
		return KindUnknown
	}
	rejected := e.Kind == jsonhttp.KindStatus && (e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable)
	if e.Kind == jsonhttp.KindNotSent || rejected {
		return KindUnavailable
	}
	return KindUnknown
}

// MayHaveRun reports whether the request may have taken effect.
func (e *Error) MayHaveRun() bool { return e.Kind == KindUnknown }
