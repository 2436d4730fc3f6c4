package ingresshttp_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"bulrushshed/forward"
	"bulrushshed/ingresshttp"
	"bulrushshed/intake"
)

// closedCauses counts the causes for which connections were closed.
type closedCauses struct {
	mu     sync.Mutex
	counts map[intake.Cause]int
}

func (c *closedCauses) add(cause intake.Cause, _ string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[intake.Cause]int{}
	}
	c.counts[cause]++
}

func (c *closedCauses) count(cause intake.Cause) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[cause]
}

// startServer serves on a loopback address until the test ends.
func startServer(t *testing.T, serve func(net.Listener) error, wrap func(net.Listener) net.Listener) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- serve(wrap(ln)) }()
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
	})
	return ln.Addr().String()
}

func unchanged(ln net.Listener) net.Listener { return ln }

func newBoundedServer(t *testing.T, h *recordingForwarder, opts ingresshttp.ConnectionOptions) *ingresshttp.Server {
	t.Helper()
	return ingresshttp.NewServer(t.Context(), ingresshttp.Options{
		DecodeHeader: func(*fasthttp.RequestHeader) forward.Request { return forward.Request{} },
		IsForwarded:  func(string) bool { return true }, Stopping: notStopping, Connections: opts, Log: slog.New(slog.DiscardHandler),
	}, h)
}

// pipeServer serves connections over pipes. It runs in a synctest bubble, where settle waits
// until the server has nothing left to do.
type pipeServer struct {
	t    *testing.T
	ln   *pipeListener
	done chan error
}

func servePipes(t *testing.T, serve func(net.Listener) error, wrap func(net.Listener) net.Listener) *pipeServer {
	p := &pipeServer{t: t, ln: &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}, done: make(chan error, 1)}
	go func() { p.done <- serve(wrap(p.ln)) }()
	return p
}

// dial opens a connection and sends text. It returns when the server waits for more.
func (p *pipeServer) dial(text string) *bufio.ReadWriter {
	client, server := net.Pipe()
	p.t.Cleanup(func() { _ = client.Close() })
	p.ln.conns <- server
	synctest.Wait()
	if text != "" {
		if _, err := io.WriteString(client, text); err != nil {
			p.t.Fatal(err)
		}
	}
	synctest.Wait()
	return bufio.NewReadWriter(bufio.NewReader(client), bufio.NewWriter(client))
}

// request opens a connection, sends a request and reads the answer.
func (p *pipeServer) request() *bufio.ReadWriter {
	conn := p.dial(completeRequest)
	is.New(p.t).Equal(readResponse(p.t, conn.Reader).StatusCode, 200)
	synctest.Wait()
	return conn
}

// stop closes all connections and waits until the server has ended.
func (p *pipeServer) stop() {
	_ = p.ln.Close()
	<-p.done
	time.Sleep(3 * time.Minute) // connections reach their deadlines, and the server's workers end
}

// isConnClosed reports whether a connection that has nothing left to read is closed.
func isConnClosed(conn *bufio.ReadWriter) bool {
	closed := make(chan bool, 1)
	go func() {
		_, err := conn.Peek(1)
		closed <- errors.Is(err, io.EOF)
	}()
	synctest.Wait()
	select {
	case c := <-closed:
		return c
	default:
		return false
	}
}

// Clients that leave connections open must not use up the descriptors, nor keep other
// clients out: a connection that nobody uses makes room, or else one whose request makes
// least progress, and never one whose request may be running.
func TestBoundOfConnections(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var causes closedCauses
		release := make(chan struct{})
		h := &recordingForwarder{}
		h.respond = func(ctx context.Context) *forward.Response {
			if len(h.requests()) == 1 {
				<-release
			}
			return respondWith(200, "stock")(ctx)
		}
		s := newBoundedServer(t, h, ingresshttp.ConnectionOptions{ConnectionOptions: intake.ConnectionOptions{Max: 3}, Closed: causes.add})
		p := servePipes(t, s.Serve, unchanged)
		defer p.stop()
		busy := p.dial(completeRequest)
		slow := p.dial(endlessHeader)
		idle := p.request()
		for range 3 {
			next := p.request()
			is.True(isConnClosed(idle))
			idle = next
		}
		is.Equal(s.Connections(), 3)
		is.Equal(causes.count(intake.CauseConnections), 3)
		faster := p.dial(endlessHeader + strings.Repeat("a", 1000)) // closes idle
		p.request()                                                 // closes slow
		is.Equal(causes.count(intake.CauseConnections), 5)
		is.True(isConnClosed(slow))
		is.True(!isConnClosed(faster))
		close(release)
		is.Equal(readResponse(t, busy.Reader).StatusCode, 200)
	})
}

// exhaustedListener has no descriptor left for a number of connections.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil && l.failures.Add(-1) >= 0 {
		_ = conn.Close()
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return conn, err
}

// Without a descriptor left the server must give up idle connections, and serve the next
// client; an accept error must not end it.
func TestIdleConnectionsAreClosedWithoutDescriptors(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var causes closedCauses
		h := &recordingForwarder{respond: respondWith(200, "stock")}
		var exhausted atomic.Int32
		s := newBoundedServer(t, h, ingresshttp.ConnectionOptions{Closed: causes.add, Exhausted: func() { exhausted.Add(1) }})
		var ln exhaustedListener
		p := servePipes(t, s.Serve, func(inner net.Listener) net.Listener {
			ln.Listener = inner
			return &ln
		})
		defer p.stop()
		idle, reading := p.request(), p.dial(endlessHeader)
		ln.failures.Store(2)
		for range 2 {
			_, server := net.Pipe()
			p.ln.conns <- server
		}
		time.Sleep(time.Second)
		is.Equal(exhausted.Load(), int32(2))
		is.True(isConnClosed(idle))
		is.True(!isConnClosed(reading))
		is.Equal(causes.count(intake.CauseDescriptors), 1)
		p.request()
	})
}

// Header timeouts are counted, as they say which clients are slow, and other ends are not.
func TestHeaderTimeoutIsCounted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var causes closedCauses
		h := &recordingForwarder{respond: respondWith(200, "stock")}
		s := newBoundedServer(t, h, ingresshttp.ConnectionOptions{Closed: causes.add})
		p := servePipes(t, s.Serve, unchanged)
		defer p.stop()
		p.request() // reaches the idle timeout
		p.dial("")
		is.Equal(causes.count(intake.CauseHeaderTimeout), 0)
		p.dial(endlessHeader)
		time.Sleep(2 * time.Minute)
		is.Equal(causes.count(intake.CauseHeaderTimeout), 1)
		is.Equal(s.Connections(), 0)
	})
}

// The servers for readiness, directory and metrics take nothing but small GET requests, so
// that their clients cannot hold the memory and the descriptors of a host.
func TestAuxiliaryServerAcceptsSmallGetRequestsOnly(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, text string
		want       int
	}{
		{"a GET request", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 200},
		{"a header just below 8 KiB", "GET /x HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("a", 8000) + "\r\n\r\n", 200},
		{"a header above 8 KiB", "GET /x HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("a", 8200) + "\r\n\r\n", 431},
		{"HEAD", "HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n", 405},
		{"POST", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n", 405},
		{"a body", "GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n", 413},
		{"a small body", "GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na", 413},
		{"a chunked body", "GET /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\naaaaa\r\n", 413},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := ingresshttp.NewAuxiliaryServer(ingresshttp.ConnectionOptions{}, slog.New(slog.DiscardHandler), func(ctx *fasthttp.RequestCtx) {
				_, _ = ctx.WriteString("ready")
			})
			r := bufio.NewReader(dial(t, startServer(t, s.Serve, unchanged), c.text))
			resp := readResponse(t, r)
			is.Equal(resp.StatusCode, c.want)
			is.Equal(resp.Close, c.want != 200)
		})
	}
}

func TestBoundOfAuxiliaryConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var causes closedCauses
	opts := ingresshttp.ConnectionOptions{ConnectionOptions: intake.ConnectionOptions{Max: 2}, Closed: causes.add}
	s := ingresshttp.NewAuxiliaryServer(opts, slog.New(slog.DiscardHandler), func(ctx *fasthttp.RequestCtx) { _, _ = ctx.WriteString("ready") })
	address := startServer(t, s.Serve, unchanged)
	for range 4 {
		conn := dial(t, address, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		is.Equal(readResponse(t, bufio.NewReader(conn)).StatusCode, 200)
	}
	is.Equal(causes.count(intake.CauseConnections), 2)
}
