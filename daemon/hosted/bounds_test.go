package hosted_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Clients that open connections and leave them must not use up the descriptors of a host:
// it goes on to serve others, and shows the bound and what it closed.
func TestHostBoundsConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 0)
	f.maxConnections = 20
	h := f.start(t, 0)
	await(t, "response 200 to /stock/1", func() bool { return statusOf(h.request(t, "GET", "/stock/1", "k1")) == 200 })
	for range 100 {
		conn, err := net.Dial("tcp", h.cfg.CallerAddress)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
	}
	await(t, "metrics of the bound", func() bool {
		text := h.metrics(t)
		return strings.Contains(text, "bulrushshed_connections 20\n") && strings.Contains(text, `bulrushshed_connections_closed_total{cause="connections"} `)
	})
	is.Equal(statusOf(h.request(t, "GET", "/stock/1", "k1")), 200)
	is.True(strings.Contains(h.metrics(t), "bulrushshed_connections_max 20\n"))
}

// metrics returns the metrics of a host.
func (h *entryHost) metrics(t *testing.T) string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+h.cfg.MetricsAddress+"/metrics", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// The limits of the configuration must reach the server for callers.
func TestHostAppliesConfiguredLimits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 1)
	h := f.hosts[0]
	await(t, "response 200 to /stock/1", func() bool { return statusOf(h.request(t, "GET", "/stock/1", "k1")) == 200 })
	c := configuration(2, "k2")
	c["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1000, "header_timeout_ms": 3000, "idle_timeout_ms": 300}
	f.store.put("keyed.op", "config", c)
	await(t, "response 200 with the new key", func() bool { return statusOf(h.request(t, "GET", "/stock/1", "k2")) == 200 })
	conn, err := net.Dial("tcp", h.cfg.CallerAddress)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // the host has closed the idle connection
}
