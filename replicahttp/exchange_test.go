package replicahttp_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"bulrushshed/replicahttp"
)

// startReplica starts a replica that accepts one connection and passes it to serve.
// It returns the address.
func startReplica(t *testing.T, serve func(conn net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		serve(conn, bufio.NewReader(conn))
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
	})
	return ln.Addr().String()
}

func newHeader(method, target string, body []byte) *fasthttp.RequestHeader {
	h := &fasthttp.RequestHeader{}
	h.SetNoDefaultContentType(true)
	h.SetMethod(method)
	h.SetRequestURI(target)
	h.SetHost("h.example")
	if len(body) > 0 {
		h.SetContentLength(len(body))
	}
	return h
}

func respondWith(response string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, response)
	}
}

func TestResponseFraming(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, response, body string
		// noResponse is set if no complete header is expected, truncated if the
		// body is expected to be incomplete.
		noResponse, truncated bool
	}{
		{"content length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", false, false},
		{"surplus bytes after the body", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", "ok", false, false},
		{"chunked encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", false, false},
		{"until connection close", "HTTP/1.1 200 OK\r\n\r\nok", "ok", false, false},
		{"after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", false, false},
		{"truncated before its length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", "ok", false, true},
		{"truncated in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", "ok", false, true},
		{"truncated after a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "ok", false, true},
		{"no response", "", "", true, false},
		{"invalid bytes", "\x00\x01garbage\r\n\r\n", "", true, false},
		{"truncated in the header", "HTTP/1.1 200 OK\r\nContent-", "", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			resp, err := replicahttp.Exchange(t.Context(), replicahttp.DialDirect, startReplica(t, respondWith(c.response)), newHeader("GET", "/x", nil), nil)
			if c.noResponse {
				var e *replicahttp.Error
				is.True(errors.As(err, &e))
				is.Equal(e.Kind, replicahttp.KindNoAnswer)
				return
			}
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.Equal(string(body), c.body)
			is.Equal(err != nil, c.truncated)
			is.NoErr(resp.Body.Close())
		})
	}
}

func TestRequestIsSentUnchanged(t *testing.T) {
	t.Parallel()
	for _, size := range []int{0, 10, 1 << 20} {
		is := is.New(t)
		want := bytes.Repeat([]byte("x"), size)
		var target string
		var got []byte
		address := startReplica(t, func(conn net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			target = req.RequestURI
			got, _ = io.ReadAll(req.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		})
		resp, err := replicahttp.Exchange(t.Context(), replicahttp.DialDirect, address, newHeader("POST", "/a/../b//c%2F?q=%41", want), want)
		is.NoErr(err)
		is.Equal(resp.StatusCode, 204)
		is.Equal(target, "/a/../b//c%2F?q=%41")
		is.True(bytes.Equal(got, want))
		is.NoErr(resp.Body.Close())
	}
}

// A replica may respond before it has read a long body.
func TestEarlyResponseIsRead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	release := make(chan struct{})
	address := startReplica(t, func(conn net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		<-release
	})
	body := bytes.Repeat([]byte("x"), 8<<20)
	resp, err := replicahttp.Exchange(t.Context(), replicahttp.DialDirect, address, newHeader("POST", "/x", body), body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 413)
	is.NoErr(resp.Body.Close())
	close(release)
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	resp, err := replicahttp.Exchange(t.Context(), replicahttp.DialDirect, ln.Addr().String(), newHeader("GET", "/x", nil), nil)
	if err == nil {
		_ = resp.Body.Close()
	}
	var e *replicahttp.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, replicahttp.KindNotSent)
}

// Cancelling the context ends the exchange at once, and the replica sees the
// connection close.
func TestCancelClosesConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	closed := make(chan struct{})
	read := make(chan struct{})
	address := startReplica(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		close(read)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-read
		cancel()
	}()
	resp, err := replicahttp.Exchange(ctx, replicahttp.DialDirect, address, newHeader("GET", "/x", nil), nil)
	if err == nil {
		_ = resp.Body.Close()
	}
	is.True(err != nil)
	<-closed
}

// A replica sends bytes without end where the header of a response belongs.
func TestEndlessHeaderIsRejected(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, start, repeated string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header line", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-Field: x\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\nX-Field: x\r\n\r\n"},
		{"no response", "", "\x00"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const tooMuch = 16 << 20
			sent := make(chan int, 1)
			address := startReplica(t, func(conn net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(conn, c.start)
				block := strings.Repeat(c.repeated, 4096/len(c.repeated)+1)
				n := 0
				for n < tooMuch {
					written, err := io.WriteString(conn, block)
					n += written
					if err != nil {
						break
					}
				}
				sent <- n
			})
			resp, err := replicahttp.Exchange(t.Context(), replicahttp.DialDirect, address, newHeader("GET", "/x", nil), nil)
			if err == nil {
				_ = resp.Body.Close()
			}
			var e *replicahttp.Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind, replicahttp.KindNoAnswer)
			is.True(<-sent < tooMuch) // the connection was closed before
		})
	}
}
