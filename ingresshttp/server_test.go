package ingresshttp_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"bulrushshed/forward"
	"bulrushshed/ingresshttp"
)

// handler is a forwarder that notes what it gets.
type handler struct {
	mu   sync.Mutex
	got  []*forward.Request
	body func(ctx context.Context) *forward.Response
	// left gets a value when a request's context ends before its answer.
	left chan struct{}
}

func (h *handler) Do(ctx context.Context, req *forward.Request) *forward.Response {
	h.mu.Lock()
	h.got = append(h.got, req)
	h.mu.Unlock()
	return h.body(ctx)
}

func (h *handler) requests() []*forward.Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*forward.Request(nil), h.got...)
}

func answer(status int, body string) func(context.Context) *forward.Response {
	return func(context.Context) *forward.Response {
		return &forward.Response{Status: status, Body: io.NopCloser(strings.NewReader(body)), Header: []forward.Field{
			{Name: "X-Kept", Value: "1"}, {Name: "Connection", Value: "close"}, {Name: "Content-Length", Value: "99"},
		}}
	}
}

func serve(t *testing.T, h *handler, stopping func() bool) string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := ingresshttp.NewServer(ctx, ingresshttp.Options{
		Read: func(hd *fasthttp.RequestHeader) forward.Request {
			return forward.Request{ID: string(hd.Peek("X-Id"))}
		},
		Passed: func(name string) bool { return name != "X-Own" }, Stopping: stopping, Log: slog.New(slog.DiscardHandler),
	}, h)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		cancel()
		_ = ln.Close()
		<-done
	})
	return ln.Addr().String()
}

func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func never() bool { return false }

// reply is one whole answer; End is how its body ended.
type reply struct {
	StatusCode int
	Header     http.Header
	Close      bool
	Body       string
	End        error
}

func answerOf(t *testing.T, r *bufio.Reader) reply {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return reply{StatusCode: resp.StatusCode, Header: resp.Header, Close: resp.Close, Body: string(text), End: err}
}

// Target, body and header fields reach the forwarder as the caller sent them.
func TestARequestIsPassedOnAsItIs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := &handler{body: answer(201, "done")}
	address := serve(t, h, never)
	conn := dial(t, address, "POST /a/../b//c%2Fd?q=%41&r HTTP/1.1\r\nHost: h.example\r\nX-Id: 7\r\nX-Own: no\r\nx-other: yes\r\n"+
		"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	resp := answerOf(t, bufio.NewReader(conn))
	is.NoErr(resp.End)
	is.Equal(resp.StatusCode, 201)
	is.Equal(resp.Body, "done")
	is.Equal(resp.Header.Get("X-Kept"), "1")
	is.Equal(resp.Header.Get("Content-Length"), "4")
	got := h.requests()[0]
	is.Equal(got.Target, "/a/../b//c%2Fd?q=%41&r")
	is.Equal(got.Method, "POST")
	is.Equal(got.Host, "h.example")
	is.Equal(got.ID, "7")
	is.Equal(string(got.Body), "abcde")
	names := map[string]string{}
	for _, f := range got.Header {
		names[f.Name] = f.Value
	}
	is.Equal(names, map[string]string{"X-Id": "7", "X-Other": "yes"})
}

// What gives its length in two ways, or in none that can be read, is refused,
// and nothing behind it on the connection is served.
func TestAmbiguousFramingIsRefused(t *testing.T) {
	t.Parallel()
	smuggled := "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range []struct{ name, head, body string }{
		{"length and chunks", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
		{"chunks and length", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"},
		{"two lengths", "Content-Length: 5\r\nContent-Length: 6\r\n", "abcde"},
		{"two codings", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "0\r\n\r\n"},
		{"an unknown coding", "Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"},
		{"a list of codings", "Transfer-Encoding: identity, chunked\r\n", "0\r\n\r\n"},
		{"a space before the colon", "Content-Length : 5\r\n", "abcde"},
		{"a signed length", "Content-Length: +5\r\n", "abcde"},
		{"a negative length", "Content-Length: -5\r\n", "abcde"},
		{"a bad chunk", "Transfer-Encoding: chunked\r\n", "zz\r\nabc\r\n0\r\n\r\n"},
		{"two hosts", "Host: other\r\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := &handler{body: answer(200, "ok")}
			conn := dial(t, serve(t, h, never), "POST /x HTTP/1.1\r\nHost: h\r\n"+c.head+"\r\n"+c.body+smuggled)
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			r := bufio.NewReader(conn)
			resp := answerOf(t, r)
			is.NoErr(resp.End)
			is.Equal(resp.StatusCode, 400)
			_, err := r.ReadByte()
			is.True(err != nil) // the connection ends
			is.Equal(len(h.requests()), 0)
		})
	}
}

func TestARequestsContextEndsWithItsCaller(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := &handler{left: make(chan struct{})}
	h.body = func(ctx context.Context) *forward.Response {
		<-ctx.Done()
		close(h.left)
		return answer(200, "")(ctx)
	}
	conn := dial(t, serve(t, h, never), "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(conn.Close())
	<-h.left
}

// events is a body that ends by an error behind some bytes.
type events struct {
	parts []string
	err   error
}

func (e *events) Read(p []byte) (int, error) {
	if len(e.parts) == 0 {
		return 0, e.err
	}
	n := copy(p, e.parts[0])
	e.parts = e.parts[1:]
	return n, nil
}

func (e *events) Close() error { return nil }

// A stream that breaks off does so towards the caller, too.
func TestABrokenStreamLooksBroken(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		end  error
		want error
	}{{io.EOF, nil}, {io.ErrUnexpectedEOF, io.ErrUnexpectedEOF}} {
		t.Run(fmt.Sprint(c.end), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := &handler{body: func(context.Context) *forward.Response {
				return &forward.Response{Status: 200, Streaming: true, Body: &events{parts: []string{"id: 1\n\n", "id: 2\n\n"}, err: c.end}}
			}}
			conn := dial(t, serve(t, h, never), "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
			resp := answerOf(t, bufio.NewReader(conn))
			is.True(errors.Is(resp.End, c.want))
			is.Equal(resp.Body, "id: 1\n\nid: 2\n\n")
		})
	}
}

// Requests that a caller sends ahead are served in turn, each whole.
func TestRequestsSentAheadAreServedInTurn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := &handler{body: answer(200, "ok")}
	var text bytes.Buffer
	for i := range 5 {
		fmt.Fprintf(&text, "POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab%d", i, i)
	}
	conn := dial(t, serve(t, h, never), text.String())
	r := bufio.NewReader(conn)
	for range 5 {
		is.NoErr(answerOf(t, r).End)
	}
	for i, req := range h.requests() {
		is.Equal(req.Target, fmt.Sprintf("/%d", i))
		is.Equal(string(req.Body), fmt.Sprintf("ab%d", i))
	}
}

// A request that comes while the one before it is served is not lost.
func TestARequestThatComesMeanwhileIsServed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	began, release := make(chan struct{}, 2), make(chan struct{})
	h := &handler{body: func(ctx context.Context) *forward.Response {
		began <- struct{}{}
		<-release
		return answer(200, "ok")(ctx)
	}}
	conn := dial(t, serve(t, h, never), "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	_, err := io.WriteString(conn, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	// Give the server the time to read ahead; the test holds without, too.
	time.Sleep(50 * time.Millisecond)
	close(release)
	r := bufio.NewReader(conn)
	for range 2 {
		is.Equal(answerOf(t, r).StatusCode, 200)
	}
	is.Equal(h.requests()[1].Target, "/2")
	is.Equal(h.requests()[1].Method, "GET")
}

func TestAStoppingHostAsksCallersToLeave(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := &handler{body: answer(200, "ok")}
	conn := dial(t, serve(t, h, func() bool { return true }), "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	resp := answerOf(t, bufio.NewReader(conn))
	is.NoErr(resp.End)
	is.True(resp.Close)
}

func TestARefusalSaysWhenToComeBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := &handler{body: func(context.Context) *forward.Response { return forward.Refuse(250 * time.Millisecond) }}
	conn := dial(t, serve(t, h, never), "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	resp := answerOf(t, bufio.NewReader(conn))
	is.NoErr(resp.End)
	is.Equal(resp.StatusCode, 503)
	is.Equal(resp.Header.Get("Retry-After"), "0.250")
}
