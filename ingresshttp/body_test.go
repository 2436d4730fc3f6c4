package ingresshttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"bulrushshed/forward"
	"bulrushshed/ingresshttp"
	"bulrushshed/intake"
)

const (
	// mebibyte and bodyLimit are in bytes.
	mebibyte  = 1 << 20
	bodyLimit = 8 * mebibyte
	// lastChunk ends a chunked body.
	lastChunk = "0\r\n\r\n"
	postHead  = "POST /x HTTP/1.1\r\nHost: h\r\n"
	chunked   = "Transfer-Encoding: chunked\r\n\r\n"
	nextHead  = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
)

// newServerWith returns a server whose options are changed by change. It rejects requests
// for /unknown by their header.
func newServerWith(ctx context.Context, h *recordingForwarder, change func(o *ingresshttp.Options)) *ingresshttp.Server {
	opts := ingresshttp.Options{
		DecodeHeader: func(*fasthttp.RequestHeader) forward.Request { return forward.Request{} },
		IsForwarded:  func(string) bool { return true }, Stopping: notStopping, Log: slog.New(slog.DiscardHandler),
		Screen: func(req *forward.Request) *forward.Response {
			if req.Target == "/unknown" {
				return &forward.Response{Status: 404, Body: http.NoBody}
			}
			return nil
		},
	}
	if change != nil {
		change(&opts)
	}
	return ingresshttp.NewServer(ctx, opts, h)
}

func serveWith(t *testing.T, h *recordingForwarder, change func(o *ingresshttp.Options)) string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := newServerWith(ctx, h, change)
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

// postBody returns a request with a body of n bytes.
func postBody(n int) string {
	return postHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", n) + strings.Repeat("x", n)
}

// chunk returns one chunk of n bytes.
func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

// isClosed reports whether the server has closed the connection.
func isClosed(r *bufio.Reader) bool {
	_, err := r.ReadByte()
	return err != nil
}

// A body must reach the forwarder complete, whatever its size and chunks are, and the
// request after it must be read from where it ends.
func TestBodiesAreReadCompletely(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, text string
		size       int
	}{
		{"empty", postBody(0), 0},
		{"one byte", postBody(1), 1},
		{"as large as the first buffer", postBody(32 << 10), 32 << 10},
		{"one more than the first buffer", postBody(32<<10 + 1), 32<<10 + 1},
		{"chunk as large as the first buffer", postHead + chunked + chunk(8<<10) + lastChunk, 8 << 10},
		{"chunk of one more than the first buffer", postHead + chunked + chunk(8<<10+1) + lastChunk, 8<<10 + 1},
		{"odd length", postBody(mebibyte + 1234567), mebibyte + 1234567},
		{"as large as allowed", postBody(bodyLimit), bodyLimit},
		{"no chunk", postHead + chunked + lastChunk, 0},
		{"small chunks", postHead + chunked + strings.Repeat(chunk(1), 20000) + lastChunk, 20000},
		{"large chunks", postHead + chunked + strings.Repeat(chunk(mebibyte), 3) + lastChunk, 3 * mebibyte},
		{"chunks as large as allowed", postHead + chunked + strings.Repeat(chunk(mebibyte), 8) + lastChunk, bodyLimit},
		{"trailers", postHead + "Trailer: X-Sum\r\n" + chunked + chunk(5) + "0\r\nX-Sum: 1\r\n\r\n", 5},
		{"a body of GET", "GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := &recordingForwarder{respond: respondWith(200, "ok")}
			ledger := intake.NewLedger(64 * mebibyte)
			address := serveWith(t, h, func(o *ingresshttp.Options) { o.Ledger = ledger })
			r := bufio.NewReader(dial(t, address, c.text+nextHead))
			is.Equal(readResponse(t, r).StatusCode, 200)
			is.Equal(readResponse(t, r).StatusCode, 200)
			got := h.requests()
			is.Equal(len(got), 2)
			is.Equal(len(got[0].Body), c.size)
			is.Equal(got[1].Target, "/next")
		})
	}
}

// A body that breaks off must not be forwarded, not even as a shorter one.
func TestBrokenBodiesAreNotForwarded(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, text string }{
		{"before the first byte", postHead + "Content-Length: 5\r\n\r\n"},
		{"before its length", postHead + "Content-Length: 5\r\n\r\nabcd"},
		{"in a large body", postBody(mebibyte)[:mebibyte/2]},
		{"before the first chunk", postHead + chunked},
		{"in a chunk", postHead + chunked + "5\r\nabc"},
		{"after a chunk", postHead + chunked + "5\r\nabcde\r\n"},
		{"in the last chunk", postHead + chunked + "5\r\nabcde\r\n0\r\n"},
		{"in a trailer", postHead + chunked + "5\r\nabcde\r\n0\r\nX-Sum: 1\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := &recordingForwarder{respond: respondWith(200, "ok")}
			conn := dial(t, serveWith(t, h, nil), c.text)
			half, ok := conn.(*net.TCPConn)
			is.True(ok)
			is.NoErr(half.CloseWrite())
			text, err := io.ReadAll(conn)
			is.NoErr(err)
			is.True(len(text) == 0 || strings.HasPrefix(string(text), "HTTP/1.1 400 "))
			is.Equal(len(h.requests()), 0)
		})
	}
}

// Requests over the limits and requests that their header alone rejects must be answered
// before their bodies have been read, and the rest of a body must never be served as the
// next request. next is set if the connection is kept.
func TestRejectedBodies(t *testing.T) {
	t.Parallel()
	unknown := "POST /unknown HTTP/1.1\r\nHost: h\r\n"
	for _, c := range []struct {
		name, text string
		status     int
		next       bool
	}{
		{"announced over the limit", postHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit+1), 413, false},
		{"announced and sent over the limit", postBody(bodyLimit + 1), 413, false},
		{"announced far over the limit", postHead + "Content-Length: 99999999999\r\n\r\nabc", 413, false},
		{"chunks over the limit", postHead + chunked + strings.Repeat(chunk(mebibyte), 9), 413, false},
		{"chunks over the limit and complete", postHead + chunked + strings.Repeat(chunk(mebibyte), 8) + chunk(1) + lastChunk, 413, true},
		{"expected over the limit", postHead + fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", bodyLimit+1), 413, false},
		{"header over the buffer", postHead + "X-Long: " + strings.Repeat("x", 200<<10) + "\r\n\r\n", 431, false},
		{"unknown with a short body", unknown + "Content-Length: 5\r\n\r\nabcde", 404, true},
		{"unknown with a short chunked body", unknown + chunked + chunk(5) + lastChunk, 404, true},
		{"unknown with a body that does not arrive", unknown + "Content-Length: 60000\r\n\r\nabc", 404, false},
		{"unknown with chunks that do not end", unknown + chunked + chunk(5), 404, false},
		{"unknown with a large body", unknown + "Content-Length: 4000000\r\n\r\nabc", 404, false},
		{"unknown with a body that does not begin", unknown + "Content-Length: 60000\r\n\r\n", 404, false},
		{"unknown with a large body that does not begin", unknown + "Content-Length: 4000000\r\n\r\n", 404, false},
		{"unknown and expected", unknown + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n", 404, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := &recordingForwarder{respond: respondWith(200, "ok")}
			ledger := intake.NewLedger(64 * mebibyte)
			conn := dial(t, serveWith(t, h, func(o *ingresshttp.Options) { o.Ledger = ledger }), "")
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				// The server may close the connection before it has read everything.
				_, _ = io.WriteString(conn, c.text)
				if c.next {
					_, _ = io.WriteString(conn, nextHead)
				}
			}()
			r := bufio.NewReader(conn)
			is.Equal(readResponse(t, r).StatusCode, c.status)
			if c.next {
				is.Equal(readResponse(t, r).StatusCode, 200)
				is.Equal(h.requests()[0].Target, "/next")
				return
			}
			is.True(isClosed(r))
			is.Equal(len(h.requests()), 0)
			_ = conn.Close()
			<-sent
		})
	}
}

// A caller that sends without end must get its 413 although it does not stop, and must not
// hold the connection.
func TestEndlessBodyIsAnsweredAndClosed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := &recordingForwarder{respond: respondWith(200, "ok")}
	conn := dial(t, serveWith(t, h, nil), postHead+chunked)
	sent := make(chan error, 1)
	go func() {
		piece := []byte(chunk(64 << 10))
		for {
			if _, err := conn.Write(piece); err != nil {
				sent <- err
				return
			}
		}
	}()
	is.Equal(readResponse(t, bufio.NewReader(conn)).StatusCode, 413)
	is.True(<-sent != nil) // the connection is closed
	is.Equal(len(h.requests()), 0)
}

// A caller that expects 100 Continue must get it, and its body must be read after that.
func TestExpectContinue(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := &recordingForwarder{respond: respondWith(200, "ok")}
	conn := dial(t, serveWith(t, h, nil), postHead+"Expect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	r := bufio.NewReader(conn)
	line, err := r.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, err = r.ReadString('\n')
	is.NoErr(err)
	_, err = io.WriteString(conn, "abcde"+nextHead)
	is.NoErr(err)
	is.Equal(readResponse(t, r).StatusCode, 200)
	is.Equal(readResponse(t, r).StatusCode, 200)
	is.Equal(string(h.requests()[0].Body), "abcde")
}

// pipes serves callers over pipes, whose time synctest advances. stop must be called at the
// end.
func pipes(t *testing.T, s *ingresshttp.Server) (connect func() net.Conn, stop func()) {
	t.Helper()
	ln := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	var clients []net.Conn
	connect = func() net.Conn {
		client, server := net.Pipe()
		ln.conns <- server
		clients = append(clients, client)
		return client
	}
	return connect, func() {
		for _, c := range clients {
			_ = c.Close()
		}
		_ = ln.Close()
		<-done
		time.Sleep(time.Minute) // the server's workers end
	}
}

// write writes to a pipe in the background, since the server may not read everything.
func write(conn net.Conn, text string) { go func() { _, _ = io.WriteString(conn, text) }() }

// A body slower than the pace must be refused, and one that keeps it must be served, also
// if it takes longer than the grace period.
func TestSlowBodies(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, head   string
		bytesPerTick int
		status       int
	}{
		{"announced, no byte", "Content-Length: 1000000\r\n\r\n", 0, 408},
		{"announced, too slow", "Content-Length: 1000000\r\n\r\n", 12 << 10, 408},
		{"announced, fast enough", "Content-Length: 1000000\r\n\r\n", 20 << 10, 200},
		{"chunked, no byte", chunked, 0, 408},
		{"chunked, too slow", chunked, 100, 408},
		{"chunked, fast enough", chunked, 20 << 10, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := &recordingForwarder{respond: respondWith(200, "ok")}
				causes := map[string]int{}
				ledger := intake.NewLedger(64 * mebibyte)
				connect, stop := pipes(t, newServerWith(t.Context(), h, func(o *ingresshttp.Options) {
					o.Ledger, o.CountRefusal = ledger, func(cause string) { causes[cause]++ }
				}))
				defer stop()
				conn := connect()
				go func() {
					_, _ = io.WriteString(conn, postHead+c.head)
					sendSlowly(conn, c.head == chunked, c.bytesPerTick)
				}()
				is.Equal(readResponse(t, bufio.NewReader(conn)).StatusCode, c.status)
				synctest.Wait()
				if c.status == 408 {
					is.Equal(causes, map[string]int{"slow_body": 1})
					is.Equal(len(h.requests()), 0)
				}
				is.Equal(ledger.Stats().Reserved, 0)
			})
		})
	}
}

// sendSlowly sends a body of 1,000,000 bytes, each second the given number of bytes.
func sendSlowly(conn net.Conn, chunks bool, perTick int) {
	if perTick == 0 {
		return
	}
	for left := 1000000; left > 0; left -= perTick {
		time.Sleep(time.Second)
		piece := strings.Repeat("x", min(perTick, left))
		if chunks {
			piece = chunk(len(piece))
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
	}
	if chunks {
		_, _ = io.WriteString(conn, lastChunk)
	}
}
