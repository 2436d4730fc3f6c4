package platformhttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
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
	// era is the era of the log as of the last answer, or 0.
	era atomic.Int64
}

// NewClient returns a client for a base URL such as http://127.0.0.1:9000.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{base: base, timeout: timeout, http: jsonhttp.NewClient(jsonhttp.DefaultOptions())}
}

// appendResponse is the response to POST /v1/log.
type appendResponse struct {
	Offset int64 `json:"offset"`
}

// Append adds an entry to the log and returns its position. The entry names the era that
// the client knows; if the log has been restored since, the entry has no effect, and the
// error is an *Error of KindUnavailable.
func (c *Client) Append(e hostlog.Entry) (int64, error) {
	if c.era.Load() == 0 {
		if _, err := c.Read(1, 1, 0); err != nil {
			return 0, &Error{Op: "append", Kind: KindUnavailable, Cause: err}
		}
	}
	e.Era = c.era.Load()
	var out appendResponse
	era, err := c.callLog("append", http.MethodPost, "/v1/log", e, &out)
	if err != nil {
		return 0, err
	}
	if era != e.Era {
		return 0, &Error{Op: "append", Kind: KindUnavailable, Cause: fmt.Errorf("log was restored, got era %d, want %d", era, e.Era)}
	}
	return hostlog.Position(era, out.Offset), nil
}

// Read returns up to limit records, starting at a position. If there are none yet,
// the platform waits up to wait for the first. If the position is of an era that has
// ended, it returns the records from the oldest one on.
func (c *Client) Read(from int64, limit int, wait time.Duration) (hostlog.Page, error) {
	page, era, err := c.read(hostlog.OffsetOf(from), limit, wait)
	if err != nil || era == hostlog.EraOf(from) {
		return page, err
	}
	page, _, err = c.read(1, limit, 0)
	return page, err
}

// ReadAt returns the record at a position. ok is false if the log no longer has it.
func (c *Client) ReadAt(position int64) (r hostlog.Record, ok bool, err error) {
	page, _, err := c.read(hostlog.OffsetOf(position), 1, 0)
	if err != nil || len(page.Records) != 1 || page.Records[0].Offset != position {
		return hostlog.Record{}, false, err
	}
	return page.Records[0], true, nil
}

// Era returns the era of the log as of the last answer, or 0.
func (c *Client) Era() int64 { return c.era.Load() }

// read returns the records from an offset of the current era on, and that era. It reads
// fewer records while the response is too large.
func (c *Client) read(from int64, limit int, wait time.Duration) (page hostlog.Page, era int64, err error) {
	for {
		path := fmt.Sprintf("/v1/log?from=%d&limit=%d&wait_ms=%d", from, limit, wait.Milliseconds())
		era, err = c.callLog("read", http.MethodGet, path, nil, &page)
		if !jsonhttp.IsTooLarge(err) || limit <= 1 {
			break
		}
		limit /= 2
	}
	if err != nil {
		return hostlog.Page{}, 0, err
	}
	page.First = hostlog.Position(era, page.First)
	page.Next = hostlog.Position(era, page.Next)
	if page.End > 0 {
		page.End = hostlog.Position(era, page.End)
	}
	for i, r := range page.Records {
		page.Records[i].Offset = hostlog.Position(r.Era, r.Offset)
	}
	return page, era, nil
}

// headerEra names the header field in which each answer has the era of the log. A platform
// that never restores it may omit the field.
const headerEra = "Store-Era"

// callLog sends a request to the log and returns the era of the answer.
func (c *Client) callLog(op, method, path string, in, out any) (era int64, err error) {
	header, err := c.http.CallHeader(jsonhttp.Request{Method: method, URL: c.base + path, Timeout: c.timeout}, in, out)
	if err != nil {
		return 0, &Error{Op: op, Kind: errorKind(err), Cause: err}
	}
	era, err = strconv.ParseInt(header(headerEra), 10, 64)
	if err != nil {
		era = hostlog.EraOf(0)
	}
	c.era.Store(era)
	return era, nil
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
	if out.Hosts == nil {
		return nil, "", &Error{Op: "hosts", Kind: KindUnavailable, Cause: errors.New("got no list of hosts")}
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
