package replicahttp_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"bulrushshed/replicahttp"
)

// peer is a replica that reads one request and then does as a test says.
func peer(t *testing.T, serve func(conn net.Conn, r *bufio.Reader)) string {
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

func head(method, target string, body []byte) *fasthttp.RequestHeader {
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

func text(answer string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, answer)
	}
}

func TestAnswers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, answer, body string
		// headless and cut say that no head, or no whole body, is to come.
		headless, cut bool
	}{
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", false, false},
		{"more bytes behind", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", "ok", false, false},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", false, false},
		{"up to the end", "HTTP/1.1 200 OK\r\n\r\nok", "ok", false, false},
		{"behind an interim one", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", false, false},
		{"cut in its length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", "ok", false, true},
		{"cut in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", "ok", false, true},
		{"cut behind a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "ok", false, true},
		{"no answer", "", "", true, false},
		{"bytes that are none", "\x00\x01garbage\r\n\r\n", "", true, false},
		{"cut in the head", "HTTP/1.1 200 OK\r\nContent-", "", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			resp, err := replicahttp.Exchange(t.Context(), peer(t, text(c.answer)), head("GET", "/x", nil), nil)
			if c.headless {
				var e *replicahttp.Error
				is.True(errors.As(err, &e))
				is.Equal(e.Kind, replicahttp.KindNoAnswer)
				return
			}
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.Equal(string(body), c.body)
			is.Equal(err != nil, c.cut)
			is.NoErr(resp.Body.Close())
		})
	}
}

func TestTheRequestIsSentAsItIs(t *testing.T) {
	t.Parallel()
	for _, size := range []int{0, 10, 1 << 20} {
		is := is.New(t)
		want := bytes.Repeat([]byte("x"), size)
		var target string
		var got []byte
		address := peer(t, func(conn net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			target = req.RequestURI
			got, _ = io.ReadAll(req.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		})
		resp, err := replicahttp.Exchange(t.Context(), address, head("POST", "/a/../b//c%2F?q=%41", want), want)
		is.NoErr(err)
		is.Equal(resp.StatusCode, 204)
		is.Equal(target, "/a/../b//c%2F?q=%41")
		is.True(bytes.Equal(got, want))
		is.NoErr(resp.Body.Close())
	}
}

// A replica may answer before it has read a long body.
func TestAnEarlyAnswerIsRead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	release := make(chan struct{})
	address := peer(t, func(conn net.Conn, _ *bufio.Reader) {
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		<-release
	})
	body := bytes.Repeat([]byte("x"), 8<<20)
	resp, err := replicahttp.Exchange(t.Context(), address, head("POST", "/x", body), body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 413)
	is.NoErr(resp.Body.Close())
	close(release)
}

func TestNothingIsSentWhereNobodyListens(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	resp, err := replicahttp.Exchange(t.Context(), ln.Addr().String(), head("GET", "/x", nil), nil)
	if err == nil {
		_ = resp.Body.Close()
	}
	var e *replicahttp.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, replicahttp.KindNotSent)
}

// Whoever cancels ends the exchange at once, and the replica sees that.
func TestACancelledExchangeEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ended := make(chan struct{})
	read := make(chan struct{})
	address := peer(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		close(read)
		_, _ = r.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-read
		cancel()
	}()
	resp, err := replicahttp.Exchange(ctx, address, head("GET", "/x", nil), nil)
	if err == nil {
		_ = resp.Body.Close()
	}
	is.True(err != nil)
	<-ended
}
