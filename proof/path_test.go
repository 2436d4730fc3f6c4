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

// ask sends one request to an entry host.
func (c *cluster) ask(n int, method, path, body string, headers map[string]string) *jsonhttp.Response {
	c.t.Helper()
	client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	all := map[string]string{caller.HeaderCustomer: "puebla", "Content-Type": "application/json"}
	for k, v := range headers {
		all[k] = v
	}
	resp, err := client.Exchange(c.t.Context(), jsonhttp.Request{
		Method: method, URL: "http://" + c.caller(n) + path, Headers: all, Body: []byte(body), Timeout: patience,
	})
	c.must(err)
	return resp
}

func (c *cluster) key(n int) string {
	c.t.Helper()
	var answer struct {
		Keys []string `json:"keys"`
	}
	c.must(json.Unmarshal(c.ask(n, http.MethodGet, "/v1/entries?keys=1", "", nil).Body, &answer))
	return answer.Keys[0]
}

func TestTheWholePath(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2, twoPipelines)

	t.Run("a completion comes whole", func(t *testing.T) {
		is := is.New(t)
		r := c.ask(1, http.MethodPost, "/v1/completions", `{"model":"assistant","prompt":"rota","max_tokens":5,"stream":false}`, nil)
		is.Equal(r.Status, http.StatusOK)
		is.True(strings.Contains(string(r.Body), strings.Join(reference.Tokens("v1", "rota", layers, 5), "")))
	})
	t.Run("a stream ends with its mark", func(t *testing.T) {
		is := is.New(t)
		r := c.ask(1, http.MethodPost, "/v1/completions", `{"model":"assistant","prompt":"rota","max_tokens":3}`, nil)
		is.Equal(r.Status, http.StatusOK)
		is.Equal(strings.Count(string(r.Body), `"text":"`), 4) // three tokens and the end
		is.True(strings.HasSuffix(string(r.Body), "data: [DONE]\n\n"))
	})
	t.Run("a repeat at another host gets the first answer", func(t *testing.T) {
		is := is.New(t)
		key := map[string]string{caller.HeaderKey: c.key(1)}
		first := c.ask(1, http.MethodPost, "/dispatch/confirm", "{}", key)
		second := c.ask(2, http.MethodPost, "/dispatch/confirm", "{}", key)
		is.Equal(first.Status, http.StatusOK)
		is.Equal(string(second.Body), string(first.Body))
		is.Equal(c.ask(3, http.MethodPost, "/dispatch/confirm", `{"other":1}`, key).Status, http.StatusUnprocessableEntity)
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
			r := c.ask(1, bad.method, bad.path, bad.body, nil)
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

// raw sends a request whose path no library has tidied, and returns the first
// line of the answer.
func (c *cluster) raw(n int, path string) string {
	c.t.Helper()
	conn, err := (&net.Dialer{}).DialContext(c.t.Context(), "tcp", c.caller(n))
	c.must(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nCustomer: puebla\r\n\r\n", path)
	c.must(err)
	line, err := bufio.NewReader(conn).ReadString('\n')
	c.must(err)
	return strings.TrimSpace(line)
}

// What a path says must be what the service reads, or a dispatch could pass as
// a stock check and be sent twice.
func TestPathsThatHideOthers(t *testing.T) {
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
			is.Equal(c.raw(1, row.path), row.want)
		})
	}
}

// streams sums up what runs on all engines.
func (c *cluster) streams() (total int) {
	for n := range c.engines {
		var w standin.Work
		c.must(c.get("http://"+c.engine(n)+"/v1/streams", &w))
		total += w.Streams + w.Sequences
	}
	return total
}

func TestACallerThatLeavesEndsItsWork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 1, 1, twoPipelines)
	client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	s, err := client.Open(t.Context(), jsonhttp.Request{
		Method: http.MethodPost, URL: "http://" + c.caller(1) + "/v1/completions", Timeout: patience,
		Headers: map[string]string{caller.HeaderCustomer: "puebla"},
		Body:    []byte(`{"model":"assistant","prompt":"long","max_tokens":1500}`),
	})
	is.NoErr(err)
	_, err = io.ReadFull(s, make([]byte, 200))
	is.NoErr(err)
	is.True(c.streams() > 0)
	s.Close()
	c.eventually("nothing runs on the engines", func() bool { return c.streams() == 0 })
	c.eventually("nothing runs on the host", func() bool {
		status, err := c.status(1)
		return err == nil && status.Requests == 0
	})
}

// A caller that reads nothing must hold its engine up, and not fill memory.
func TestASlowCallerHoldsItsEngineUp(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fast := []engineSpec{{"fast-1", "a", "0-80", time.Microsecond}}
	c := newCluster(t, 1, 1, fast)
	// The caller takes no more than a few kilobytes from the network.
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", c.caller(1))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(4096)) //nolint:forcetypeassert // A TCP dial gives no other.
	body := `{"model":"assistant","prompt":"long","max_tokens":4096}`
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nCustomer: puebla\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	is.NoErr(err)
	c.eventually("the stream runs", func() bool { return c.streams() > 0 })
	// All 4,096 tokens take well under two seconds when they are read.
	time.Sleep(3 * time.Second)
	is.True(c.streams() > 0) // the engine still waits for the caller
}

func TestStrangersAreRefused(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, twoPipelines[:2])
	ownIP := []net.IP{net.ParseIP(c.ip(roleEntry, 9))}
	other, err := keys.NewCA(time.Now())
	c.must(err)
	pair := func(ca keys.Pair, role keys.Role) keys.Pair {
		p, err := keys.New(ca, role, "guest", ownIP, time.Now())
		c.must(err)
		return p
	}
	call := func(t *testing.T, guest keys.Pair) error {
		cfg, err := keys.Config(c.ca.Cert, guest)
		c.must(err)
		n, err := peer.NewNode(peer.Options{Address: c.ip(roleEntry, 9) + ":0", DialTimeout: 2 * time.Second, MaxBytes: 1 << 20},
			keys.RequireRole(cfg, keys.RoleHost), nil, discard)
		c.must(err)
		ctx, cancel := context.WithCancel(t.Context())
		done := n.Serve(ctx)
		defer func() {
			cancel()
			<-done
		}()
		short, stop := context.WithTimeout(ctx, 5*time.Second)
		defer stop()
		_, err = n.Call(short, c.peer(1), peer.Message{Kind: peer.KindJoin})
		return err
	}
	for _, guest := range []struct {
		name string
		pair keys.Pair
		ok   bool
	}{
		{"a host of the same CA", pair(c.ca, keys.RoleHost), true},
		{"an operator", pair(c.ca, keys.RoleOperator), false},
		{"a host of another CA", pair(other, keys.RoleHost), false},
	} {
		t.Run(guest.name, func(t *testing.T) {
			is := is.New(t)
			before := strings.Count(c.logOf("entry-1"), "rejected untrusted peer")
			is.Equal(call(t, guest.pair) == nil, guest.ok)
			if !guest.ok {
				c.eventually("the stranger is logged", func() bool {
					return strings.Count(c.logOf("entry-1"), "rejected untrusted peer") > before
				})
			}
		})
	}
}

func TestOperatorsShowACertificate(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1, twoPipelines[:2])
	c.entries = 2
	c.startEntry(2, func(s *settings.Settings) { s.OperatorTLS = true })
	pair := func(ca keys.Pair, role keys.Role, name string) []string {
		p, err := keys.New(ca, role, name, nil, time.Now())
		c.must(err)
		return []string{
			"-ca", filepath.Join(c.dir, "ca.crt"), "-cert", c.write(name+".crt", p.Cert), "-key", c.write(name+".key", p.Key),
		}
	}
	other, err := keys.NewCA(time.Now())
	c.must(err)
	ctl := func(flags []string) error {
		args := append([]string{"status", "-host", c.operator(2)}, flags...)
		return exec.Command(filepath.Join(bin, "bulrushctl"), args...).Run()
	}
	operator := pair(c.ca, keys.RoleOperator, "ortiz")
	c.eventually("the operator is let in", func() bool { return ctl(operator) == nil })
	is := is.New(t)
	is.True(ctl(nil) != nil)                                        // no certificate
	is.True(ctl(pair(other, keys.RoleOperator, "stranger")) != nil) // another CA's
	is.NoErr(ctl(operator))                                         // and still let in
}
