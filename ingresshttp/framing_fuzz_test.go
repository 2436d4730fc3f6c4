package ingresshttp_test

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
	"time"

	"bulrushshed/forward"
	"bulrushshed/ingresshttp"
	"bulrushshed/intake"
)

// FuzzFraming sends raw bytes to a server. A request must be forwarded only with a body that
// the standard library also reads from the same bytes, and all memory must be released.
func FuzzFraming(f *testing.F) {
	for _, seed := range []string{
		postHead + "Content-Length: 5\r\n\r\nabcde" + nextHead,
		postHead + "Content-Length: 5\r\n\r\nabc",
		postHead + "Content-Length: 99999999999\r\n\r\nabc",
		postHead + "Content-Length: 5\r\n" + chunked + lastChunk + nextHead,
		postHead + chunked + strings.Repeat("1\r\nx\r\n", 100),
		postHead + chunked + strings.Repeat("1\r\nx\r\n", 100) + lastChunk + nextHead,
		postHead + chunked + "10000\r\n" + strings.Repeat("x", 0xffff),
		postHead + chunked + "fffffffffffffffff\r\nabc",
		postHead + chunked + "3;a=b\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n" + nextHead,
		"POST /unknown HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde" + nextHead,
		"POST /x HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 40<<10),
		"\r\n\r\n" + nextHead,
		"",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		h := &recordingForwarder{respond: respondWith(200, "ok")}
		ledger := intake.NewLedger(64 * mebibyte)
		s := newServerWith(context.Background(), h, func(o *ingresshttp.Options) { o.Ledger = ledger })
		client, server := net.Pipe()
		ln := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		ln.conns <- server
		done := make(chan error, 1)
		go func() { done <- s.Serve(ln) }()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_ = client.SetWriteDeadline(time.Now().Add(10 * time.Second))
		_, _ = client.Write(text)
		_ = client.Close()
		_ = ln.Close()
		<-done
		for end := time.Now().Add(10 * time.Second); ledger.Stats().Entries > 0 || s.Active() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("got %+v after the end of the connection, want no entries", ledger.Stats())
			}
		}
		if reserved := ledger.Stats().Reserved; reserved != 0 {
			t.Fatalf("got %d bytes reserved after the end of the connection, want 0", reserved)
		}
		compareBodies(t, text, h.requests())
	})
}

// compareBodies compares the first forwarded request with that which the standard library
// reads. It may accept less, but no other body.
func compareBodies(t *testing.T, text []byte, got []*forward.Request) {
	t.Helper()
	if len(got) == 0 {
		return
	}
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
	if err != nil {
		// The standard library rejects some headers that are harmless.
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return
	}
	if len(got[0].Body) > 0 && !bytes.Equal(got[0].Body, body) {
		t.Fatalf("got a body of %d bytes, want %d", len(got[0].Body), len(body))
	}
}
