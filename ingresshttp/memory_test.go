package ingresshttp_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/forward"
	"bulrushshed/ingresshttp"
	"bulrushshed/intake"
)

// An idle connection that kept the buffer of its largest body took a host of 284 MB with 90
// callers beyond its memory (review case 2).
func TestIdleConnectionsHoldNoBodies(t *testing.T) { //nolint:paralleltest // it measures the memory of the process
	is := is.New(t)
	const conns, bodyBytes = 40, 4 * mebibyte
	h := &recordingForwarder{respond: respondWith(200, "ok")}
	address := serve(t, h, notStopping)
	text := postBody(bodyBytes)
	before := liveBytes()
	for range conns {
		r := bufio.NewReader(dial(t, address, text))
		is.Equal(readResponse(t, r).StatusCode, 200)
		is.Equal(len(h.requests()[0].Body), bodyBytes)
		h.mu.Lock()
		h.received = nil
		h.mu.Unlock()
	}
	if held := liveBytes() - before; held > conns*bodyBytes/4 {
		t.Errorf("got %d MiB held by %d idle connections, want less than a quarter of their bodies", held/mebibyte, conns)
	}
}

// liveBytes returns the bytes of live objects. Pools keep theirs for two collections.
func liveBytes() int {
	runtime.GC()
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// Bodies that stop short of their end must not keep other callers out for long: they are
// refused with a 503 that says that they have not run, and their memory is released.
func TestStalledBodiesAreEvicted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &recordingForwarder{respond: respondWith(200, "ok")}
		ledger := intake.NewLedger(12 * mebibyte)
		connect, stop := pipes(t, newServerWith(t.Context(), h, func(o *ingresshttp.Options) { o.Ledger = ledger }))
		defer stop()
		var stalled []net.Conn
		for range 2 {
			conn := connect()
			stalled = append(stalled, conn)
			write(conn, postBody(4 * mebibyte)[:4*mebibyte])
		}
		synctest.Wait()
		time.Sleep(10 * time.Second)
		conn := connect()
		write(conn, postBody(4*mebibyte))
		is.Equal(readResponse(t, bufio.NewReader(conn)).StatusCode, 200)
		is.Equal(len(h.requests()), 1)
		is.Equal(ledger.Stats().Evicted, 1)
		refused := 0
		for _, c := range stalled {
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			is.Equal(resp.StatusCode, 503)
			is.True(resp.Header.Get("Retry-After") != "")
			refused++
		}
		is.Equal(refused, ledger.Stats().Evicted)
	})
}

// Where running requests hold all memory, a body must wait shortly and then be refused.
func TestBodyIsRefusedWithoutMemory(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		h := &recordingForwarder{respond: func(ctx context.Context) *forward.Response {
			<-release
			return respondWith(200, "ok")(ctx)
		}}
		ledger := intake.NewLedger(8 * mebibyte)
		connect, stop := pipes(t, newServerWith(t.Context(), h, func(o *ingresshttp.Options) { o.Ledger = ledger }))
		defer stop()
		running := connect()
		write(running, postBody(4*mebibyte))
		synctest.Wait()
		is.Equal(len(h.requests()), 1)
		refused := connect()
		write(refused, postBody(4*mebibyte))
		resp := readResponse(t, bufio.NewReader(refused))
		is.Equal(resp.StatusCode, 503)
		is.True(resp.Header.Get("Retry-After") != "")
		small := connect()
		write(small, postBody(1000))
		synctest.Wait()
		is.Equal(len(h.requests()), 2) // small requests are still admitted
		close(release)
		is.Equal(readResponse(t, bufio.NewReader(running)).StatusCode, 200)
		is.Equal(readResponse(t, bufio.NewReader(small)).StatusCode, 200)
		synctest.Wait()
		is.Equal(ledger.Stats().Reserved, 0)
	})
}

// A caller that does not read a stream must lose its connection when its memory is needed.
func TestUnreadStreamIsEvicted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		event := bytes.Repeat([]byte("x"), 256<<10)
		closed := make(chan struct{})
		first := sync.OnceFunc(func() { close(closed) })
		h := &recordingForwarder{respond: func(ctx context.Context) *forward.Response {
			context.AfterFunc(ctx, first)
			return &forward.Response{Status: 200, Streaming: true, Body: io.NopCloser(io.MultiReader(bytes.NewReader(event), bytes.NewReader(event)))}
		}}
		ledger := intake.NewLedger(256 << 10)
		connect, stop := pipes(t, newServerWith(t.Context(), h, func(o *ingresshttp.Options) { o.Ledger = ledger }))
		defer stop()
		conn := connect()
		write(conn, postBody(100<<10))
		time.Sleep(10 * time.Second)
		is.Equal(len(h.requests()), 1)
		other := connect()
		write(other, postBody(150<<10))
		<-closed
	})
}
