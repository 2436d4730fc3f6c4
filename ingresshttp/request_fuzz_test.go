package ingresshttp_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"

	"bulrushshed/forward"
	"bulrushshed/ingresshttp"
)

// duplexConn is one end of an in-memory connection whose directions end separately, like
// those of a TCP connection. It uses no ports, of which a fuzz run would need too many.
type duplexConn struct {
	in, out net.Conn
}

// duplexPipe returns both ends of a connection.
func duplexPipe() (client, server *duplexConn) {
	fromClient, toServer := net.Pipe()
	fromServer, toClient := net.Pipe()
	return &duplexConn{in: toClient, out: fromClient}, &duplexConn{in: toServer, out: fromServer}
}

func (c *duplexConn) Read(p []byte) (int, error)  { return c.in.Read(p) }
func (c *duplexConn) Write(p []byte) (int, error) { return c.out.Write(p) }
func (c *duplexConn) CloseWrite() error           { return c.out.Close() }
func (c *duplexConn) Close() error                { return errors.Join(c.in.Close(), c.out.Close()) }
func (c *duplexConn) LocalAddr() net.Addr         { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }
func (c *duplexConn) RemoteAddr() net.Addr        { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)} }

// SetReadDeadline returns no error if the other end has ended its direction: unlike for a
// TCP connection, that is an error for a pipe.
func (c *duplexConn) SetReadDeadline(t time.Time) error {
	_ = c.in.SetReadDeadline(t)
	return nil
}

func (c *duplexConn) SetWriteDeadline(t time.Time) error {
	_ = c.out.SetWriteDeadline(t)
	return nil
}

func (c *duplexConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// framingSeeds are raw requests of misbehaving clients.
func framingSeeds() []string {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	post := func(header, body string) string { return "POST /x HTTP/1.1\r\nHost: h\r\n" + header + "\r\n" + body }
	const chunked, lastChunk = "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"
	large := "9000\r\n" + strings.Repeat("a", 0x9000) + "\r\n"
	small := strings.Repeat("1\r\na\r\n", 300)
	seeds := []string{
		"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" + smuggled,
		post("Content-Length: 3\r\n", "abc") + post(chunked, "3\r\nabc\r\n"+lastChunk) + smuggled,
		// Complete chunked bodies and those that stop short of their end.
		post(chunked, large+lastChunk) + smuggled, post(chunked, large), post(chunked, "800000\r\n"+large[6:]),
		post(chunked, small+lastChunk) + smuggled, post(chunked, small), post(chunked, small+"0\r\n"),
		// Bodies over the limit, announced and not, and a body that is never sent.
		post("Content-Length: 8388609\r\n", "abc"), post("Content-Length: 99999999999999999999\r\n", "abc"),
		post(chunked, "800001\r\nabc"), post(chunked, "fffffffffffffffff\r\nabc"), post("Content-Length: 100\r\n", "abc"),
		// Headers without an end, and one over the limit.
		"GET /x HTTP/1.1\r\nHost: h\r\nA: ", "GET /x HTTP/1.1\r\nA: " + strings.Repeat("a", 40<<10) + "\r\n\r\n", "G", "\r\n\r\n",
	}
	for _, header := range []string{
		"Content-Length: 3\r\n", "Content-Length: 3\nA: 1\n", "Content-Length: 3\r\nContent-Length: 3\r\n", "Content-Length:3\t\r\n",
		"Content-Length: 3, 3\r\n", "Content-Length: 0x3\r\n", "Content-Length: \r\n", "Content-Length: 3\r\n 4\r\n", "content-length\t: 3\r\n",
		"A: b\r\n Content-Length: 3\r\n", "A: b\rContent-Length: 3\r\n", "A: b\x00\r\nContent-Length: 3\r\n", " Content-Length: 3\r\n", "Content-Length\r\n: 3\r\n",
		"Expect: 100-continue\r\nContent-Length: 3\r\n", "Expect: 100-continue\r\nContent-Length: 9000000\r\n", "Expect: 100-continue\r\n" + chunked,
		"Content-Length: 3\r\n" + chunked, chunked + "Content-Length: 3\r\n", chunked + chunked, "Transfer-Encoding: CHUNKED\r\n",
		"Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked, identity\r\n", "Transfer-Encoding: identity, chunked\r\n",
		"Transfer-Encoding : chunked\r\n", "Transfer-Encoding:\tchunked\r\n", "Transfer-Encoding:\r\n chunked\r\n", "Transfer-Encoding: \"chunked\"\r\n",
		"Transfer-Encoding: chunked\x0b\r\n", "Transfer-Encoding: chunked,\r\n", "Transfer-Encoding: identity\r\n", "Transfer-Encoding:\r\n",
		"Transfer_Encoding: chunked\r\n", "Transfer Encoding: chunked\r\n", "Transfer-Encoding;: chunked\r\n", "X: y\nTransfer-Encoding: chunked\n", "Host: other\r\n", "Connection: Transfer-Encoding\r\n" + chunked,
	} {
		seeds = append(seeds, post(header, "abc"+smuggled), post(header, "3\r\nabc\r\n0\r\n\r\n"+smuggled), post(header, "0\r\n\r\n"+smuggled))
	}
	for _, chunks := range []string{
		"3;ext=1\r\nabc\r\n0\r\n\r\n", "3;ext=\"\r\nabc\r\n0\r\n\r\n", "3;ext\nabc\r\n0\r\n\r\n", "3\nabc\n0\n\n", "3 \r\nabc\r\n0\r\n\r\n", "03\r\nabc\r\n00\r\n\r\n",
		"0x3\r\nabc\r\n0\r\n\r\n", "+3\r\nabc\r\n0\r\n\r\n", "-3\r\nabc\r\n0\r\n\r\n", "3\r\nabcd\r\n0\r\n\r\n", "3\r\nabc0\r\n\r\n", "3\r\nabc\r\n0\r\nA: 1\r\n\r\n",
		"3\r\nabc\r\n0\r\nContent-Length: 9\r\n\r\n", "3\r\nabc\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n0\r\n A: 1\r\n\r\n", "3\r\nabc\r\n0\r\nA\r\n\r\n", "3\r\nabc\r\n0\r\nA b: 1\r\n\r\n",
		"3\r\nabc\r\n0\r\n\n", "3\r\nabc\r\n\r\n0\r\n\r\n", "\r\n3\r\nabc\r\n0\r\n\r\n", "3\r\nabc\r\n0;ext\r\n\r\n", "3\r\rabc\r\n0\r\n\r\n", "10000000000000003\r\nabc\r\n0\r\n\r\n",
	} {
		seeds = append(seeds, post(chunked, chunks+smuggled))
	}
	for _, line := range []string{
		"GET /x HTTP/1.0", "GET /x HTTP/1.2", "GET /x HTTP/2.0", "GET /x", "GET  /x HTTP/1.1", "GET /x  HTTP/1.1", "GET /a b HTTP/1.1", "G(T /x HTTP/1.1",
		"HEAD /x HTTP/1.1", "DELETE /x HTTP/1.1", "OPTIONS * HTTP/1.1", "CONNECT h:1 HTTP/1.1", "GET http://h/x HTTP/1.1", "GET /x\tHTTP/1.1", " GET /x HTTP/1.1",
	} {
		seeds = append(seeds, line+"\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"+smuggled, line+"\r\nHost: h\r\n"+chunked+"\r\n0\r\n\r\n"+smuggled)
	}
	return seeds
}

// sendRaw writes text to a connection of the server in pieces of at most size bytes, ends
// its direction, and returns the bytes of the responses.
func sendRaw(t *testing.T, ln *pipeListener, text []byte, size int) []byte {
	t.Helper()
	client, server := duplexPipe()
	defer func() { _ = client.Close() }()
	_ = client.SetDeadline(time.Now().Add(20 * time.Second))
	ln.conns <- server
	written := make(chan struct{})
	go func() {
		defer close(written)
		for piece := range slices.Chunk(text, size) {
			if _, err := client.Write(piece); err != nil {
				break // the server has closed the connection
			}
		}
		_ = client.CloseWrite()
	}()
	answers, err := io.ReadAll(client)
	if err != nil {
		t.Fatalf("got %v, want the server to close the connection after its end", err)
	}
	<-written
	return answers
}

// readStatuses returns the status of each final response. The expected requests tell which
// responses are to HEAD and have no body.
func readStatuses(t *testing.T, answers []byte, expected []framedRequest) []int {
	t.Helper()
	var statuses []int
	r := bufio.NewReader(strings.NewReader(string(answers)))
	for {
		if _, err := r.Peek(1); err != nil {
			return statuses
		}
		req := &http.Request{Method: http.MethodGet}
		if len(statuses) < len(expected) {
			req.Method = expected[len(statuses)].Method
		}
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			t.Fatalf("got %v, want responses, in %q", err, answers)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatalf("got %v, want a complete response, in %q", err, answers)
		}
		if resp.StatusCode != http.StatusContinue {
			statuses = append(statuses, resp.StatusCode)
		}
	}
}

// Request smuggling: the server must delimit requests as a strict parser does, and must
// serve nothing after one that it rejects as malformed.
func FuzzRequestFraming(f *testing.F) {
	for _, seed := range framingSeeds() {
		f.Add([]byte(seed), uint16(0))
	}
	f.Add([]byte(framingSeeds()[1]), uint16(1))
	f.Add([]byte(framingSeeds()[1]), uint16(7))
	ctx, cancel := context.WithCancel(context.Background())
	h := &recordingForwarder{respond: func(context.Context) *forward.Response {
		return &forward.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("ok"))}
	}}
	s := newServer(ctx, h, notStopping)
	ln := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	done := make(chan error, 1)
	go func(s *ingresshttp.Server) { done <- s.Serve(ln) }(s)
	f.Cleanup(func() {
		cancel()
		_ = ln.Close()
		<-done
	})
	f.Fuzz(func(t *testing.T, text []byte, size uint16) {
		h.reset()
		if size == 0 {
			size = 0xffff
		}
		answers := sendRaw(t, ln, text, int(size))
		expected := readFramedRequests(text)
		checkForwarded(t, h.requests(), expected, readStatuses(t, answers, expected))
	})
}

// checkForwarded checks that requests were forwarded as expected, in order, and that a
// malformed one ended the connection. The last ones may lack an answer, as fasthttp sends
// it with that of the next request if it has read a part of that, which may never end.
func checkForwarded(t *testing.T, forwarded []*forward.Request, expected []framedRequest, statuses []int) {
	t.Helper()
	got := lo.Map(forwarded, func(r *forward.Request, _ int) framedRequest {
		return framedRequest{Method: r.Method, Target: r.Target, Body: string(r.Body)}
	})
	var want []framedRequest
	for i, status := range statuses {
		if status == http.StatusBadRequest && i < len(statuses)-1 {
			t.Fatalf("got statuses %v, want none after 400", statuses)
		}
		if status == http.StatusOK && i < len(expected) {
			want = append(want, expected[i])
		}
	}
	if unanswered := len(got) - len(want); unanswered > 0 && len(statuses) <= len(expected) {
		want = append(want, lo.Slice(expected, len(statuses), len(statuses)+unanswered)...)
	}
	if !slices.Equal(got, want) {
		t.Fatalf("got %+v forwarded, want %+v; statuses %v", got, want, statuses)
	}
}
