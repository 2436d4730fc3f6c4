package replicahttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushshed/http1"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindNotSent means that no byte of the request left this host.
	KindNotSent Kind = "not_sent"
	// KindNoAnswer means that no complete response header was received.
	KindNoAnswer Kind = "no_answer"
)

// Error is the only error type of this package.
type Error struct {
	Op    string
	Kind  Kind
	Cause error
}

var _ error = (*Error)(nil)

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("replicahttp %s: %s: %v", e.Op, e.Kind, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

const (
	// dialTimeout limits connection establishment.
	dialTimeout = 200 * time.Millisecond
	// concurrentWriteBytes is the body size above which the response is read
	// while the body is still being written, since a replica may respond before it
	// has read a long body.
	concurrentWriteBytes = 16 << 10
	// headBufferBytes is the size of a typical request header.
	headBufferBytes = 4 << 10
)

// Dial opens a connection to an address. No byte may have been sent if it fails.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Exchange sends a request header and body on a new connection to an address and returns
// the response. Closing the response body or cancelling ctx closes the connection.
func Exchange(ctx context.Context, dial Dial, address string, head *fasthttp.RequestHeader, body []byte) (*http.Response, error) {
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindNotSent, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	resp, err := roundTrip(http1.NewConn(conn), head, body)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, &Error{Op: "exchange", Kind: KindNoAnswer, Cause: err}
	}
	resp.Body = &connBody{ReadCloser: resp.Body, conn: conn, stop: stop}
	return resp, nil
}

// Reach opens a connection to an address and closes it without sending anything.
func Reach(ctx context.Context, dial Dial, address string) error {
	conn, err := dial(ctx, address)
	if err != nil {
		return &Error{Op: "dial", Kind: KindNotSent, Cause: err}
	}
	return conn.Close()
}

// DialDirect opens a TCP connection.
func DialDirect(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", address)
}

func roundTrip(conn *http1.Conn, head *fasthttp.RequestHeader, body []byte) (*http.Response, error) {
	method := string(head.Method())
	request := head.AppendBytes(make([]byte, 0, headBufferBytes))
	if len(body) <= concurrentWriteBytes {
		if _, err := conn.Write(append(request, body...)); err != nil {
			return nil, err
		}
		return http1.ReadResponse(conn, method)
	}
	if _, err := conn.Write(request); err != nil {
		return nil, err
	}
	// The write ends at the latest when the connection is closed, which is together
	// with the response body.
	go func() { _, _ = conn.Write(body) }()
	return http1.ReadResponse(conn, method)
}

// connBody is a response body that closes its connection.
type connBody struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool
}

// Close closes the connection without reading the rest of the body.
func (b *connBody) Close() error {
	b.stop()
	return b.conn.Close()
}
