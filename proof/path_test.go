package proof_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/caller"
	"bulrushshed/jsonhttp"
	"bulrushshed/keys"
	"bulrushshed/peer"
	"bulrushshed/reference"
	"bulrushshed/settings"
	"bulrushshed/standin"
)

// request sends a request to an entry host and returns the response.
func (c *cluster) request(n int, method, path, body string, headers map[string]string) *jsonhttp.Response {
	c.t.Helper()
	client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	all := map[string]string{caller.HeaderCustomer: "puebla", "Content-Type": "application/json"}
	for k, v := range headers {
		all[k] = v
	}
	resp, err := client.Exchange(c.t.Context(), jsonhttp.Request{
		Method: method, URL: "http://" + c.caller(n) + path, Headers: all, Body: []byte(body), Timeout: waitTimeout,
	})
	c.noError(err)
	return resp
}

// newKey requests a new idempotency key from an entry host.
func (c *cluster) newKey(n int) string {
	c.t.Helper()
	var answer struct {
		Keys []string `json:"keys"`
	}
	c.noError(json.Unmarshal(c.request(n, http.MethodGet, "/v1/entries?keys=1", "", nil).Body, &answer))
	return answer.Keys[0]
}

func TestEndToEndRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2, twoPipelines)

	t.Run("a completion without streaming is returned in full", func(t *testing.T) {
		is := is.New(t)
		r := c.request(1, http.MethodPost, "/v1/completions", `{"model":"assistant","prompt":"rota","max_tokens":5,"stream":false}`, nil)
		is.Equal(r.Status, http.StatusOK)
		is.True(strings.Contains(string(r.Body), strings.Join(reference.Tokens("v1", "rota", modelLayers, 5), "")))
	})
	t.Run("a stream ends with the DONE event", func(t *testing.T) {
		is := is.New(t)
		r := c.request(1, http.MethodPost, "/v1/completions", `{"model":"assistant","prompt":"rota","max_tokens":3}`, nil)
		is.Equal(r.Status, http.StatusOK)
		is.Equal(strings.Count(string(r.Body), `"text":"`), 4) // three tokens and the final event
		is.True(strings.HasSuffix(string(r.Body), "data: [DONE]\n\n"))
	})
	t.Run("a repeated key at another host gets the first response", func(t *testing.T) {
		is := is.New(t)
		key := map[string]string{caller.HeaderKey: c.newKey(1)}
		first := c.request(1, http.MethodPost, "/dispatch/confirm", "{}", key)
		second := c.request(2, http.MethodPost, "/dispatch/confirm", "{}", key)
		is.Equal(first.Status, http.StatusOK)
		is.Equal(string(second.Body), string(first.Body))
		is.Equal(c.request(3, http.MethodPost, "/dispatch/confirm", `{"other":1}`, key).Status, http.StatusUnprocessableEntity)
	})
	for _, bad := range []struct {
		name, method, path, body string
		status                   int
		field                    string
	}{
		{"no JSON", "POST", "/v1/completions", "nonsense", 400, "body"},
		{"no model", "POST", "/v1/completions", `{"model":"none","prompt":"p","max_tokens":1}`, 404, "model"},
		{"no prompt", "POST", "/v1/completions", `{"model":"assistant","max_tokens":1}`, 400, "prompt"},
		{"too many tokens", "POST", "/v1/completions", `{"model":"assistant","prompt":"p","max_tokens":1000000}`, 400, "max_tokens"},
		{"no key", "POST", "/dispatch/confirm", "{}", 400, "Idempotency-Key"},
		{"no rule", "GET", "/other", "", 404, "path"},
		{"too many keys", "GET", "/v1/entries?keys=100000", "", 400, "keys"},
	} {
		t.Run(bad.name, func(t *testing.T) {
			is := is.New(t)
			r := c.request(1, bad.method, bad.path, bad.body, nil)
			var body struct {
				Error struct{ Kind, Field string }
			}
			is.NoErr(json.Unmarshal(r.Body, &body))
			is.Equal(r.Status, bad.status)
			is.Equal(body.Error.Kind, "invalid")
			is.Equal(body.Error.Field, bad.field)
		})
	}
}

// rawRequest sends a request with a path that no HTTP library has normalized, and
// returns the status line of the response.
func (c *cluster) rawRequest(n int, path string) string {
	c.t.Helper()
	conn, err := (&net.Dialer{}).DialContext(c.t.Context(), "tcp", c.caller(n))
	c.noError(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nCustomer: puebla\r\n\r\n", path)
	c.noError(err)
	line, err := bufio.NewReader(conn).ReadString('\n')
	c.noError(err)
	return strings.TrimSpace(line)
}

// The path that selects the rule must be the path that the service resolves.
// Otherwise a dispatch call disguised as a stock check could be treated as
// idempotent and be executed twice.
func TestAmbiguousPathsAreRejected(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1, twoPipelines[:2])
	for _, row := range []struct{ path, want string }{
		{"/stock/pallets?a=b%20c", "HTTP/1.1 200 OK"},
		{"/stock/two%20words", "HTTP/1.1 200 OK"},
		{"/stock/../dispatch/confirm", "HTTP/1.1 400 Bad Request"},
		{"/stock/..%2fdispatch/confirm", "HTTP/1.1 400 Bad Request"},
		{"/stock/%2e%2e/dispatch/confirm", "HTTP/1.1 400 Bad Request"},
		{"/stock//dispatch", "HTTP/1.1 400 Bad Request"},
		{"/stock/a%5cb", "HTTP/1.1 400 Bad Request"},
	} {
		t.Run(row.path, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.rawRequest(1, row.path), row.want)
		})
	}
}

// activeWork returns the total number of streams and sequences on all engines.
func (c *cluster) activeWork() (total int) {
	for n := range c.engines {
		var w standin.ActiveWork
		c.noError(c.get("http://"+c.engineAddress(n)+"/v1/streams", &w))
		total += w.Streams + w.Sequences
	}
	return total
}

// When a caller disconnects, the work on its behalf must end on the entry host
// and on all engines.
func TestCallerDisconnectCancelsWork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 1, 1, twoPipelines)
	client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	s, err := client.Open(t.Context(), jsonhttp.Request{
		Method: http.MethodPost, URL: "http://" + c.caller(1) + "/v1/completions", Timeout: waitTimeout,
		Headers: map[string]string{caller.HeaderCustomer: "puebla"},
		Body:    []byte(`{"model":"assistant","prompt":"long","max_tokens":1500}`),
	})
	is.NoErr(err)
	_, err = io.ReadFull(s, make([]byte, 200))
	is.NoErr(err)
	is.True(c.activeWork() > 0)
	s.Close()
	c.eventually("no stream or sequence is left on the engines", func() bool { return c.activeWork() == 0 })
	c.eventually("no request is left on the entry host", func() bool {
		status, err := c.status(1)
		return err == nil && status.Requests == 0
	})
}

// A caller that does not read must block the engine that generates its response,
// rather than let the response accumulate in the entry host's memory.
func TestASlowCallerHoldsItsEngineUp(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fast := []engineSpec{{"fast-1", "a", "0-80", time.Microsecond}}
	c := newCluster(t, 1, 1, fast)
	// A small receive buffer makes the connection accept only a few kilobytes.
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", c.caller(1))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(4096)) //nolint:forcetypeassert // A TCP dial always returns a *net.TCPConn.
	body := `{"model":"assistant","prompt":"long","max_tokens":4096}`
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nCustomer: puebla\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	is.NoErr(err)
	c.eventually("the stream has started", func() bool { return c.activeWork() > 0 })
	// With a caller that reads, all 4,096 tokens take well under two seconds.
	time.Sleep(3 * time.Second)
	is.True(c.activeWork() > 0) // the engine is still blocked by the caller
}

// Only hosts with a host certificate of the cluster's CA may call a peer.
func TestUnauthorizedPeersAreRejected(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, twoPipelines[:2])
	ownIP := []net.IP{net.ParseIP(c.ip(roleEntry, 9))}
	other, err := keys.NewCA(time.Now())
	c.noError(err)
	pair := func(ca keys.Pair, role keys.Role) keys.Pair {
		p, err := keys.New(ca, role, "guest", ownIP, time.Now())
		c.noError(err)
		return p
	}
	call := func(t *testing.T, client keys.Pair) error {
		cfg, err := keys.Config(c.ca.Cert, client)
		c.noError(err)
		n, err := peer.NewNode(peer.Options{Address: c.ip(roleEntry, 9) + ":0", DialTimeout: 2 * time.Second, MaxBytes: 1 << 20},
			keys.RequireRole(cfg, keys.RoleHost), nil, discardLogger)
		c.noError(err)
		ctx, cancel := context.WithCancel(t.Context())
		done := n.Serve(ctx)
		defer func() {
			cancel()
			<-done
		}()
		callCtx, cancelCall := context.WithTimeout(ctx, 5*time.Second)
		defer cancelCall()
		_, err = n.Call(callCtx, c.peer(1), peer.Message{Kind: peer.KindJoin})
		return err
	}
	for _, row := range []struct {
		name string
		pair keys.Pair
		ok   bool
	}{
		{"a host of the same CA", pair(c.ca, keys.RoleHost), true},
		{"an operator", pair(c.ca, keys.RoleOperator), false},
		{"a host of another CA", pair(other, keys.RoleHost), false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			before := strings.Count(c.readLog("entry-1"), "rejected untrusted peer")
			is.Equal(call(t, row.pair) == nil, row.ok)
			if !row.ok {
				c.eventually("the rejected connection is logged", func() bool {
					return strings.Count(c.readLog("entry-1"), "rejected untrusted peer") > before
				})
			}
		})
	}
}

func TestOperatorCertificateIsRequired(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1, twoPipelines[:2])
	c.entries = 2
	c.startEntry(2, func(s *settings.Settings) { s.OperatorTLS = true })
	certFlags := func(ca keys.Pair, role keys.Role, operator string) []string {
		p, err := keys.New(ca, role, operator, nil, time.Now())
		c.noError(err)
		return []string{
			"-ca", filepath.Join(c.dir, "ca.crt"), "-cert", c.writeFile(operator+".crt", p.Cert), "-key", c.writeFile(operator+".key", p.Key),
		}
	}
	other, err := keys.NewCA(time.Now())
	c.noError(err)
	ctl := func(flags []string) error {
		args := append([]string{"status", "-host", c.operatorAddress(2)}, flags...)
		return exec.Command(filepath.Join(binDir, "bulrushctl"), args...).Run()
	}
	validFlags := certFlags(c.ca, keys.RoleOperator, "ortiz")
	c.eventually("the operator's certificate is accepted", func() bool { return ctl(validFlags) == nil })
	is := is.New(t)
	is.True(ctl(nil) != nil)                                             // no certificate
	is.True(ctl(certFlags(other, keys.RoleOperator, "stranger")) != nil) // certificate of another CA
	is.NoErr(ctl(validFlags))                                            // a valid certificate is still accepted
}
