package ingresshttp_test

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"bulrushshed/ingress"
)

// A header over the configured limit must be refused as such, whatever fits the buffer of
// the server.
func TestHeaderLimitFollowsTheConfiguration(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		header int
		want   int
	}{{"within the limit", 900, 200}, {"over the limit", 1100, 431}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				limits := ingress.DefaultLimits()
				limits.HeaderBytes = 1000
				h := &recordingForwarder{respond: respondWith(200, "stock")}
				client, stop := serveOverPipe(newLimitedServer(t.Context(), h, func() ingress.Limits { return limits }))
				defer stop()
				go func() {
					_, _ = io.WriteString(client, "GET /a HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("a", c.header)+"\r\n\r\n")
				}()
				is.Equal(readResponse(t, bufio.NewReader(client)).StatusCode, c.want)
				is.Equal(len(h.requests()) > 0, c.want == 200)
			})
		})
	}
}
