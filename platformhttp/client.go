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

// Kind says what sort of failure an Error is.
type Kind string

// The kinds of Error.
const (
	// KindUnavailable means that the call had no effect.
	KindUnavailable Kind = "unavailable"
	// KindUnknown means that the call may have had its effect.
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

// Client calls the platform at one base URL.
type Client struct {
	base    string
	timeout time.Duration
	http    *jsonhttp.Client
}

// NewClient returns a client for a base URL such as http://127.0.0.1:9000.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{base: base, timeout: timeout, http: jsonhttp.NewClient(jsonhttp.DefaultOptions())}
}

// appended is the answer to an append.
type appended struct {
	Offset int64 `json:"offset"`
}

// Append adds an entry to the log and returns its offset.
func (c *Client) Append(e hostlog.Entry) (int64, error) {
	var out appended
	err := c.call("append", http.MethodPost, "/v1/log", e, &out)
	return out.Offset, err
}

// Read returns up to limit records from an offset on. The platform waits up
// to wait for the first record to come.
func (c *Client) Read(from int64, limit int, wait time.Duration) (hostlog.Page, error) {
	var out hostlog.Page
	path := fmt.Sprintf("/v1/log?from=%d&limit=%d&wait_ms=%d", from, limit, wait.Milliseconds())
	err := c.call("read", http.MethodGet, path, nil, &out)
	return out, err
}

// hostList is the answer to a request for the hosts.
type hostList struct {
	Hosts []hostlog.Host `json:"hosts"`
}

// Hosts returns the platform's list of hosts with a tag of it. If the list still
// is the one of an earlier tag, the list is nil and the tag the same.
func (c *Client) Hosts(known string) (hosts []hostlog.Host, tag string, err error) {
	r := jsonhttp.Request{Method: http.MethodGet, URL: c.base + "/v1/hosts", Timeout: c.timeout}
	if known != "" {
		r.Headers = map[string]string{"If-None-Match": known}
	}
	resp, err := c.http.Do(r)
	switch {
	case err != nil:
		return nil, "", &Error{Op: "hosts", Kind: effect(err), Cause: err}
	case resp.Status == http.StatusNotModified:
		return nil, known, nil
	case resp.Status != http.StatusOK:
		return nil, "", &Error{Op: "hosts", Kind: KindUnavailable, Cause: fmt.Errorf("got status %d", resp.Status)}
	}
	var out hostList
	if err := json.Unmarshal(resp.Body, &out); err != nil {
		return nil, "", &Error{Op: "hosts", Kind: KindUnavailable, Cause: err}
	}
	return out.Hosts, resp.Header("ETag"), nil
}

// Announce puts a host on the platform's list, or changes its line.
func (c *Client) Announce(h hostlog.Host) error {
	return c.call("announce", http.MethodPost, "/v1/hosts", h, nil)
}

func (c *Client) call(op, method, path string, in, out any) error {
	err := c.http.Call(jsonhttp.Request{Method: method, URL: c.base + path, Timeout: c.timeout}, in, out)
	if err == nil {
		return nil
	}
	return &Error{Op: op, Kind: effect(err), Cause: err}
}

// effect tells whether a failed call may have had its effect. The platform
// answers 429 and 503 only when it did nothing.
func effect(err error) Kind {
	var e *jsonhttp.Error
	if !errors.As(err, &e) {
		return KindUnknown
	}
	refused := e.Kind == jsonhttp.KindStatus && (e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable)
	if e.Kind == jsonhttp.KindNotSent || refused {
		return KindUnavailable
	}
	return KindUnknown
}

// MayHaveRun reports whether the call may have had its effect.
func (e *Error) MayHaveRun() bool { return e.Kind == KindUnknown }
