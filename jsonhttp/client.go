package jsonhttp

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Kind says what sort of failure an Error is.
type Kind string

// The kinds of Error.
const (
	// KindNotSent means that no byte of the request left this host.
	KindNotSent Kind = "not_sent"
	// KindNoAnswer means that the request may have arrived, but that no
	// whole answer came back.
	KindNoAnswer Kind = "no_answer"
	// KindStatus means that the peer answered with a status of 400 or more.
	KindStatus Kind = "status"
	// KindFormat means that an answer could not be read.
	KindFormat Kind = "format"
)

// Error is the only error type of this package.
type Error struct {
	Op     string
	Kind   Kind
	Status int
	// Body is the peer's answer, for KindStatus.
	Body  []byte
	Cause error
}

var _ error = (*Error)(nil)

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Kind == KindStatus {
		return fmt.Sprintf("%s: got status %d: %s", e.Op, e.Status, e.Body)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of an *Error in the chain, or "".
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// Options bound a client's connections.
type Options struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
	MaxConns    int
	MaxBody     int
	// TLS is used for https URLs; nil for none.
	TLS *tls.Config
}

// DefaultOptions suit calls between hosts of one region.
func DefaultOptions() Options {
	return Options{
		DialTimeout: time.Second,
		IdleTimeout: 10 * time.Second,
		MaxConns:    4096,
		MaxBody:     4 << 20,
	}
}

// Client sends requests; it is safe for concurrent use.
type Client struct {
	opts Options
	http *fasthttp.Client
}

// dialError marks failures that come before the first byte of a request.
type dialError struct{ error }

// NewClient returns a client that never repeats a request.
func NewClient(o Options) *Client {
	return &Client{opts: o, http: &fasthttp.Client{
		MaxConnsPerHost:           o.MaxConns,
		MaxIdleConnDuration:       o.IdleTimeout,
		MaxResponseBodySize:       o.MaxBody,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
		TLSConfig:                 o.TLS,
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, o.DialTimeout)
			if err != nil {
				return nil, dialError{err}
			}
			return conn, nil
		},
	}}
}

// Request is one exchange: a method, an absolute URL, headers and a body.
type Request struct {
	Method  string
	URL     string
	Headers map[string]string
	Body    []byte
	Timeout time.Duration
}

// Response is a whole answer.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	header      fasthttp.ResponseHeader
}

// Header returns the first value of a header of the answer.
func (r *Response) Header(name string) string { return string(r.header.Peek(name)) }

// Do exchanges one request for a whole answer of any status, on a connection
// that it may share with earlier requests.
func (c *Client) Do(r Request) (*Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	r.fill(req)
	if err := c.http.Do(req, resp); err != nil {
		return nil, classify(r, err)
	}
	return newResponse(resp), nil
}

func newResponse(resp *fasthttp.Response) *Response {
	out := &Response{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}
	resp.Header.CopyTo(&out.header)
	return out
}

func (r Request) fill(req *fasthttp.Request) {
	req.Header.SetMethod(r.Method)
	req.SetRequestURI(r.URL)
	for k, v := range r.Headers {
		req.Header.Set(k, v)
	}
	req.SetBodyRaw(r.Body)
	req.SetTimeout(r.Timeout)
}

// classify finds out whether the request can have reached the peer.
func classify(r Request, err error) *Error {
	kind := KindNoAnswer
	var dial dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		kind = KindNotSent
	}
	return &Error{Op: r.op(), Kind: kind, Cause: eris.Wrap(err, "exchange")}
}

// Call sends in as JSON, unless it is nil, and reads the answer into out,
// unless that is nil. A status of 400 or more is an *Error of KindStatus.
func (c *Client) Call(r Request, in, out any) error {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return &Error{Op: r.op(), Kind: KindNotSent, Cause: err}
		}
		r.Body = body
		r.Headers = withJSON(r.Headers)
	}
	resp, err := c.Do(r)
	if err != nil {
		return err
	}
	if resp.Status >= fasthttp.StatusBadRequest {
		return &Error{Op: r.op(), Kind: KindStatus, Status: resp.Status, Body: resp.Body}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return &Error{Op: r.op(), Kind: KindFormat, Cause: err}
	}
	return nil
}

func withJSON(headers map[string]string) map[string]string {
	out := map[string]string{"Content-Type": "application/json"}
	for k, v := range headers {
		out[k] = v
	}
	return out
}
