package replicahttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"
)

// Kind says what sort of failure an Error is.
type Kind string

// The kinds of Error.
const (
	// KindNotSent means that no byte of the request left this host.
	KindNotSent Kind = "not_sent"
	// KindNoAnswer means that no head of an answer came back.
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
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = 200 * time.Millisecond
	// writeAlong is the size of a body in bytes above which the answer is
	// read while the body is still on its way.
	writeAlong = 16 << 10
	readBuffer = 4 << 10
	// maxInterim is the number of interim answers that are passed over.
	maxInterim = 4
)

// Exchange sends a head and a body to an address and returns the answer. Its
// body ends the connection when closed, and so does ctx.
func Exchange(ctx context.Context, address string, head *fasthttp.RequestHeader, body []byte) (*http.Response, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindNotSent, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	resp, err := converse(conn, head, body)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, &Error{Op: "exchange", Kind: KindNoAnswer, Cause: err}
	}
	resp.Body = &wholeBody{ReadCloser: resp.Body, conn: conn, stop: stop}
	return resp, nil
}

func converse(conn net.Conn, head *fasthttp.RequestHeader, body []byte) (*http.Response, error) {
	out := head.AppendBytes(make([]byte, 0, readBuffer))
	if len(body) <= writeAlong {
		if _, err := conn.Write(append(out, body...)); err != nil {
			return nil, err
		}
		return readHead(conn, head)
	}
	if _, err := conn.Write(out); err != nil {
		return nil, err
	}
	// The write ends with the connection, which ends with the answer.
	go func() { _, _ = conn.Write(body) }()
	return readHead(conn, head)
}

func readHead(conn net.Conn, head *fasthttp.RequestHeader) (*http.Response, error) {
	r := bufio.NewReaderSize(conn, readBuffer)
	req := &http.Request{Method: string(head.Method())}
	for range maxInterim {
		resp, err := http.ReadResponse(r, req)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, fmt.Errorf("got %d interim answers, want a final one", maxInterim)
}

// wholeBody closes its connection, too.
type wholeBody struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool
}

// Close ends the exchange. It does not wait for the rest of the body.
func (b *wholeBody) Close() error {
	b.stop()
	return b.conn.Close()
}
