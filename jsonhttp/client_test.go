package jsonhttp_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/jsonhttp"
)

// rawServer responds to each request with the text that respond returns for its
// number; an empty text closes the connection.
type rawServer struct {
	ln       net.Listener
	requests atomic.Int32
}

func newRawServer(t *testing.T, respond func(n int32) string) *rawServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{ln: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, respond)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn, respond func(n int32) string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = req.Body.Close()
		text := respond(s.requests.Add(1))
		if text == "" {
			return
		}
		if _, err := conn.Write([]byte(text)); err != nil {
			return
		}
	}
}

func (s *rawServer) request(method string) jsonhttp.Request {
	return jsonhttp.Request{Method: method, URL: "http://" + s.ln.Addr().String() + "/", Timeout: 5 * time.Second}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// fasthttp by default retries a request when the keep-alive connection that it
// was sent on closes. The client must not, whatever the method.
func TestNoRetryAfterKeepAliveConnectionCloses(t *testing.T) {
	t.Parallel()
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newRawServer(t, func(n int32) string {
				if n == 1 {
					return okResponse
				}
				return ""
			})
			c := jsonhttp.NewClient(jsonhttp.DefaultOptions())
			_, err := c.Do(s.request(method))
			is.NoErr(err)
			_, err = c.Do(s.request(method))
			is.Equal(jsonhttp.KindOf(err), jsonhttp.KindNoAnswer)
			is.Equal(s.requests.Load(), int32(2))
		})
	}
}

func TestErrorKindsOfExchange(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		response string
		want     jsonhttp.Kind
	}{
		{"complete response", okResponse, ""},
		{"chunked response", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ""},
		{"closed after the request", "", jsonhttp.KindNoAnswer},
		{"truncated status line", "HTTP/1.1 200", jsonhttp.KindNoAnswer},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", jsonhttp.KindNoAnswer},
		{"no final chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", jsonhttp.KindNoAnswer},
		{"neither length nor chunks", "HTTP/1.1 200 OK\r\n\r\nok", jsonhttp.KindNoAnswer},
		{"not HTTP", "nonsense\r\n\r\n", jsonhttp.KindNoAnswer},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newRawServer(t, func(int32) string { return c.response })
			req := s.request(http.MethodPost)
			req.Timeout = 300 * time.Millisecond
			_, err := jsonhttp.NewClient(jsonhttp.DefaultOptions()).Exchange(context.Background(), req)
			is.Equal(jsonhttp.KindOf(err), c.want)
			is.Equal(s.requests.Load(), int32(1))
		})
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newRawServer(t, func(int32) string { return okResponse })
	is.NoErr(s.ln.Close())
	c := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	_, err := c.Do(s.request(http.MethodPost))
	is.Equal(jsonhttp.KindOf(err), jsonhttp.KindNotSent)
	_, err = c.Exchange(context.Background(), s.request(http.MethodPost))
	is.Equal(jsonhttp.KindOf(err), jsonhttp.KindNotSent)
}

// A server sends a second copy of its response, late: once the client has received the
// first one and before it sends the next request.
func TestLateSecondResponseIsNotThatOfAnotherRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	received, copied := make(chan struct{}), make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	respond := func(conn net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + req.URL.Path
		_, _ = conn.Write([]byte(body))
		if req.URL.Path == "/1" {
			<-received
			_, _ = conn.Write([]byte(body))
			close(copied)
		}
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				respond(conn, r)
				respond(conn, r)
			}()
		}
	}()
	c := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	for _, path := range []string{"/1", "/2"} {
		resp, err := c.Do(jsonhttp.Request{Method: http.MethodGet, URL: "http://" + ln.Addr().String() + path, Timeout: 5 * time.Second})
		is.NoErr(err)
		is.Equal(string(resp.Body), path)
		if path == "/1" {
			close(received)
			<-copied
		}
	}
}
