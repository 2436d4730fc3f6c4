package operator_test

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/matryer/is"

	"bulrushshed/ingresshttp"
	"bulrushshed/operator"
)

// host is a host without a state.
type host struct{}

func (host) Status(bool) operator.Status { return operator.Status{Name: "entry-1"} }

func (host) Explain(operator.Query) (operator.Explanation, error) {
	return operator.Explanation{}, nil
}

func (host) WriteMetrics(c fiber.Ctx) error { return c.SendString("metrics") }

func startAPI(t *testing.T) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	api := operator.NewServer(host{}, ingresshttp.ConnectionOptions{}, slog.New(slog.DiscardHandler))
	done := make(chan error, 1)
	go func() { done <- api.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
	})
	return ln.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	return conn
}

// Whoever reaches the address must not make the host hold bodies and large headers.
func TestOnlySmallRequestsAreServed(t *testing.T) {
	t.Parallel()
	address := startAPI(t)
	for _, c := range []struct {
		name, request string
		served        bool
	}{
		{"get", "GET /v1/status HTTP/1.1\r\nHost: h\r\n\r\n", true},
		{"a long query", "GET /v1/explain?path=/" + strings.Repeat("a", 4000) + " HTTP/1.1\r\nHost: h\r\n\r\n", true},
		{"post", "POST /v1/status HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", false},
		{"a large body", "GET /v1/status HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\nabc", false},
		{"a chunked body", "GET /v1/status HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\nabc", false},
		{"a large header", "GET /v1/status HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 9<<10) + "\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conn := dial(t, address)
			_, err := io.WriteString(conn, c.request)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				is.True(!c.served)                               // closed without an answer
				is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // and not kept open
				return
			}
			_ = resp.Body.Close()
			is.Equal(resp.StatusCode == http.StatusOK, c.served)
		})
	}
}
