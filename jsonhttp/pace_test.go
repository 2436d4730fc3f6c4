package jsonhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/jsonhttp"
)

// readPaced reads a body of 100 pieces, each of which is sent after a pause. pause returns
// the pause before a piece.
func readPaced(t *testing.T, pieceBytes int, pause func(n int) time.Duration) error {
	t.Helper()
	const pieces = 100
	served := make(chan struct{})
	defer func() { <-served }()
	opts := jsonhttp.DefaultOptions()
	opts.MaxResponseBytes = 0
	opts.Dial = func(context.Context, string) (net.Conn, error) {
		conn, server := net.Pipe()
		go func() {
			defer close(served)
			defer func() { _ = server.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				return
			}
			_, err := fmt.Fprintf(server, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", pieces*pieceBytes)
			for n := 0; n < pieces && err == nil; n++ {
				time.Sleep(pause(n))
				_, err = server.Write(make([]byte, pieceBytes))
			}
		}()
		return conn, nil
	}
	s, err := jsonhttp.NewClient(opts).Open(t.Context(), jsonhttp.Request{
		Method: http.MethodGet, URL: "http://127.0.0.1:9/", Timeout: time.Second, MinBodyRate: 64 << 10,
	})
	if err != nil {
		return err
	}
	defer s.Close()
	n, err := io.Copy(io.Discard, s)
	if err == nil && n != int64(pieces*pieceBytes) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// A large body may take longer than the timeout of the request, as long as it arrives at a
// reasonable rate.
func TestBodyMayTakeLongerThanTimeout(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name       string
		pieceBytes int
		pause      func(n int) time.Duration
		arrives    bool
	}{
		{"narrow link", 44 << 10, func(int) time.Duration { return 100 * time.Millisecond }, true},
		{"pauses", 256 << 10, func(int) time.Duration { return 900 * time.Millisecond }, true},
		{"slow", 16 << 10, func(int) time.Duration { return 900 * time.Millisecond }, false},
		{"stalls", 256 << 10, func(n int) time.Duration { return time.Duration(n/50) * 2 * time.Second }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is.New(t).Equal(readPaced(t, c.pieceBytes, c.pause) == nil, c.arrives)
			})
		})
	}
}
