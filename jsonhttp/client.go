package jsonhttp

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

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

// errTooLarge means that the body of a response exceeds Options.MaxResponseBytes.
var errTooLarge = errors.New("response body is too large")

// IsTooLarge reports whether a response exceeded Options.MaxResponseBytes.
func IsTooLarge(err error) bool { return errors.Is(err, errTooLarge) }

// Options limit a client's connections and responses.
type Options struct {
	DialTimeout time.Duration
	// Dial opens connections; nil opens them directly. No byte may have been sent if it
	// fails.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxResponseBytes is the maximum size of the body of a complete response.
	MaxResponseBytes int
	// TLS is the configuration for https URLs; nil means the default one.
	TLS *tls.Config
}

// DefaultOptions are meant for calls between hosts of one region.
func DefaultOptions() Options {
	return Options{
		DialTimeout:      time.Second,
		MaxResponseBytes: 4 << 20,
	}
}

// Client sends requests; it is safe for concurrent use.
type Client struct {
	opts Options
}

// NewClient returns a client that never retries a request.
func NewClient(o Options) *Client { return &Client{opts: o} }

// dial opens a connection to the server of a URL within DialTimeout.
func (o Options) dial(ctx context.Context, uri *fasthttp.URI) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
	defer cancel()
	connect := DialDirect
	if o.Dial != nil {
		connect = o.Dial
	}
	address := string(uri.Host())
	conn, err := connect(ctx, address)
	if err != nil || string(uri.Scheme()) != "https" {
		return conn, err
	}
	return o.startTLS(ctx, conn, address)
}

// startTLS returns an encrypted connection to the server at an address.
func (o Options) startTLS(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS12}
	if o.TLS != nil {
		cfg = o.TLS.Clone()
	}
	if host, _, err := net.SplitHostPort(address); err == nil {
		cfg.ServerName = cmp.Or(cfg.ServerName, host)
	}
	secure := tls.Client(conn, cfg)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secure, nil
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
	header      http.Header
}

// Header returns the first value of a header of the response.
func (r *Response) Header(name string) string { return r.header.Get(name) }

// Do is Exchange without a context.
func (c *Client) Do(r Request) (*Response, error) { return c.Exchange(context.Background(), r) }

func (r Request) copyTo(req *fasthttp.Request) {
	req.Header.SetMethod(r.Method)
	req.SetRequestURI(r.URL)
	for k, v := range r.Headers {
		req.Header.Set(k, v)
	}
	req.SetBodyRaw(r.Body)
	req.SetConnectionClose()
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
