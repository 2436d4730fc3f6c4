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

// peer is a server that answers each request of a connection by hand. What it
// returns is written; an empty text closes the connection.
type peer struct {
	ln   net.Listener
	seen atomic.Int32
}

func newPeer(t *testing.T, answer func(n int32) string) *peer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{ln: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(conn, answer)
		}
	}()
	return p
}

func (p *peer) serve(conn net.Conn, answer func(n int32) string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = req.Body.Close()
		text := answer(p.seen.Add(1))
		if text == "" {
			return
		}
		if _, err := conn.Write([]byte(text)); err != nil {
			return
		}
	}
}

func (p *peer) request(method string) jsonhttp.Request {
	return jsonhttp.Request{Method: method, URL: "http://" + p.ln.Addr().String() + "/", Timeout: 5 * time.Second}
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// The library repeats a request by itself when a kept-alive connection closes
// behind it. Ours must not, whatever the method.
func TestAClosedKeptAliveConnectionLeadsToNoSecondSend(t *testing.T) {
	t.Parallel()
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := newPeer(t, func(n int32) string {
				if n == 1 {
					return ok
				}
				return ""
			})
			c := jsonhttp.NewClient(jsonhttp.DefaultOptions())
			_, err := c.Do(p.request(method))
			is.NoErr(err)
			_, err = c.Do(p.request(method))
			is.Equal(jsonhttp.KindOf(err), jsonhttp.KindNoAnswer)
			is.Equal(p.seen.Load(), int32(2))
		})
	}
}

func TestKindsOfFailedExchanges(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		answer string
		want   jsonhttp.Kind
	}{
		{"whole answer", ok, ""},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ""},
		{"closed behind the request", "", jsonhttp.KindNoAnswer},
		{"half a head", "HTTP/1.1 200", jsonhttp.KindNoAnswer},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", jsonhttp.KindNoAnswer},
		{"chunks without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", jsonhttp.KindNoAnswer},
		{"no way to tell the end", "HTTP/1.1 200 OK\r\n\r\nok", jsonhttp.KindNoAnswer},
		{"no HTTP", "nonsense\r\n\r\n", jsonhttp.KindNoAnswer},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := newPeer(t, func(int32) string { return c.answer })
			req := p.request(http.MethodPost)
			req.Timeout = 300 * time.Millisecond
			_, err := jsonhttp.NewClient(jsonhttp.DefaultOptions()).Exchange(context.Background(), req)
			is.Equal(jsonhttp.KindOf(err), c.want)
			is.Equal(p.seen.Load(), int32(1))
		})
	}
}

func TestAPeerThatIsNotThereWasNotSentTo(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newPeer(t, func(int32) string { return ok })
	is.NoErr(p.ln.Close())
	c := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	_, err := c.Do(p.request(http.MethodPost))
	is.Equal(jsonhttp.KindOf(err), jsonhttp.KindNotSent)
	_, err = c.Exchange(context.Background(), p.request(http.MethodPost))
	is.Equal(jsonhttp.KindOf(err), jsonhttp.KindNotSent)
}
