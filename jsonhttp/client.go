package jsonhttp

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindNotSent means that no byte of the request left this host.
	KindNotSent Kind = "not_sent"
	// KindNoAnswer means that the request may have reached the server, but no
	// complete response was received.
	KindNoAnswer Kind = "no_answer"
	// KindStatus means that the server responded with a status of 400 or more.
	KindStatus Kind = "status"
	// KindFormat means that the body of the response could not be decoded.
	KindFormat Kind = "format"
)

// Error is the only error type of this package.
type Error struct {
	// Op is the method and the URL of the request.
	Op   string
	Kind Kind
	// Status is the status of the response, for KindStatus.
	Status int
	// Body is the body of the response, for KindStatus.
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

// IsTooLarge reports whether a response exceeded Options.MaxResponseBytes.
func IsTooLarge(err error) bool { return errors.Is(err, fasthttp.ErrBodyTooLarge) }

// Options limit a client's connections and responses.
type Options struct {
	DialTimeout time.Duration
	// Dial opens connections; nil opens them directly. No byte may have been sent if it
	// fails.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxConnsPerHost limits the concurrent connections of Do and Call to one
	// address.
	MaxConnsPerHost int
	// MaxResponseBytes is the maximum size of the body of a complete response.
	MaxResponseBytes int
	// TLS configures Do and Call for https URLs; nil means the default
	// configuration.
	TLS *tls.Config
}

// DefaultOptions are meant for calls between hosts of one region.
func DefaultOptions() Options {
	return Options{
		DialTimeout:      time.Second,
		MaxConnsPerHost:  4096,
		MaxResponseBytes: 4 << 20,
	}
}

// Client sends requests; it is safe for concurrent use.
type Client struct {
	opts Options
	http *fasthttp.Client
}

// dialError marks errors that occur before the first byte of a request is sent.
type dialError struct{ error }

// NewClient returns a client that never retries a request.
func NewClient(o Options) *Client {
	return &Client{opts: o, http: &fasthttp.Client{
		MaxConnsPerHost:           o.MaxConnsPerHost,
		MaxResponseBodySize:       o.MaxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
		TLSConfig:                 o.TLS,
		Dial: func(address string) (net.Conn, error) {
			conn, err := o.dial(context.Background(), address)
			if err != nil {
				return nil, dialError{err}
			}
			return conn, nil
		},
	}}
}

// dial opens a connection within DialTimeout.
func (o Options) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
	defer cancel()
	if o.Dial != nil {
		return o.Dial(ctx, address)
	}
	return DialDirect(ctx, address)
}

// DialDirect opens a TCP connection.
func DialDirect(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// Request is a request to an absolute URL.
type Request struct {
	Method  string
	URL     string
	Headers map[string]string
	Body    []byte
	Timeout time.Duration
	// MinBodyRate is the rate in bytes per second at which the body of the response must
	// arrive on average, after Timeout, when it is read from a [Stream]. Gaps may not
	// exceed Timeout. 0 means that the body may take any time.
	MinBodyRate int
}

// Response is a complete response.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	header      fasthttp.ResponseHeader
}

// Header returns the first value of a header of the response.
func (r *Response) Header(name string) string { return string(r.header.Peek(name)) }

// Do sends a request and returns the complete response, whatever its status. Each
// request has a connection of its own: a server that responds twice cannot be noticed
// before its second response is taken for that of the next request.
func (c *Client) Do(r Request) (*Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	r.copyTo(req)
	req.SetConnectionClose()
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

func (r Request) copyTo(req *fasthttp.Request) {
	req.Header.SetMethod(r.Method)
	req.SetRequestURI(r.URL)
	for k, v := range r.Headers {
		req.Header.Set(k, v)
	}
	req.SetBodyRaw(r.Body)
	req.SetTimeout(r.Timeout)
}

// classify returns the error of a failed exchange, whose kind tells whether the
// request may have reached the server.
func classify(r Request, err error) *Error {
	kind := KindNoAnswer
	var dial dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		kind = KindNotSent
	}
	return &Error{Op: r.op(), Kind: kind, Cause: eris.Wrap(err, "exchange")}
}

// Call sends in as JSON, unless it is nil, and decodes the response into out,
// unless that is nil. It returns an *Error of KindStatus for a status of 400 or
// more.
func (c *Client) Call(r Request, in, out any) error {
	_, err := c.CallHeader(r, in, out)
	return err
}

// CallHeader is Call that also returns a function that returns the first value of a header
// of the response.
func (c *Client) CallHeader(r Request, in, out any) (header func(name string) string, err error) {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return nil, &Error{Op: r.op(), Kind: KindNotSent, Cause: err}
		}
		r.Body = body
		r.Headers = jsonHeaders(r.Headers)
	}
	resp, err := c.Do(r)
	if err != nil {
		return nil, err
	}
	if resp.Status >= fasthttp.StatusBadRequest {
		return nil, &Error{Op: r.op(), Kind: KindStatus, Status: resp.Status, Body: resp.Body}
	}
	if out == nil {
		return resp.Header, nil
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return nil, &Error{Op: r.op(), Kind: KindFormat, Cause: err}
	}
	return resp.Header, nil
}

func jsonHeaders(headers map[string]string) map[string]string {
	out := map[string]string{"Content-Type": "application/json"}
	for k, v := range headers {
		out[k] = v
	}
	return out
}
