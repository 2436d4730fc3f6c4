package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/forward"
	"bulrushshed/quarantine"
)

// crashes is a prompt part that crashes each engine that begins to answer a request
// with it. Engines are back after restartTime.
type crashes struct {
	part uint64

	mu sync.Mutex
	// at has the time of each crash, which is also that of each send of a request
	// with the part.
	at []time.Time
}

// promptFeatures returns the features of prompt parts alone.
func promptFeatures(parts ...uint64) []quarantine.Feature {
	all := quarantine.Features(parts, 0)
	return all[:len(parts)]
}

const restartTime = 3 * time.Second

// crash takes the engine at an address down and returns its broken answer.
func (c *crashes) crash(u *upstream, address string) *forward.UpstreamResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
	u.takeDown(address)
	time.AfterFunc(restartTime, func() { u.bringUp(address) })
	out, in := io.Pipe()
	_ = in.CloseWithError(io.ErrUnexpectedEOF)
	return &forward.UpstreamResponse{Status: 200, Body: out, Signed: true}
}

// sentAfter returns how many requests with the part engines received later than a
// time after the n-th crash.
func (c *crashes) sentAfter(n int, after time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < n {
		return 0
	}
	count := 0
	for _, at := range c.at {
		if at.Sub(c.at[n-1]) > after {
			count++
		}
	}
	return count
}

// Requests with a part that crashes engines keep arriving beside sound ones with the
// same key and first part.
func TestRequestsThatCrashEnginesAreContained(t *testing.T) {
	t.Parallel()
	const (
		stabilityWindow = 3 * time.Second
		engines         = 30
		common, deadly  = 0xa1, 0xdead
		rounds          = 100
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(1000)
		f.replaceEngines(engines)
		c := &crashes{part: deadly}
		f.upstream.crashing = c
		served := 0
		for i := range rounds {
			bad := request("stream")
			bad.ID, bad.SharedParts = fmt.Sprint("bad-", i), []uint64{common, deadly}
			resp := f.forwarder.Do(t.Context(), bad)
			_ = resp.Body.Close()
			sound := request("stream")
			sound.ID, sound.SharedParts = fmt.Sprint("sound-", i), []uint64{common}
			if ids, err := readEvents(t, f.forwarder.Do(t.Context(), sound)); err == nil && len(ids) == eventCount {
				served++
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.True(c.sentAfter(5, stabilityWindow) <= 3)
		is.Equal(served, rounds)
	})
}

// A running stream breaks off while a part of its prompt is held, and the answer to another
// request clears the part.
func TestRunningStreamWaitsUntilItsPartIsCleared(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const part = 0xa1
		f := newFixture(10)
		attempts := 0
		for _, engine := range []string{"e0", "e1"} {
			f.upstream.streamBy[engine] = func(ctx context.Context, s forward.Send) *forward.UpstreamResponse {
				if attempts++; attempts > 1 {
					return f.upstream.stream(ctx, s)
				}
				out, in := io.Pipe()
				go func() {
					_, _ = io.WriteString(in, "id: 1\ndata: t\n\n")
					time.Sleep(100 * time.Millisecond)
					_ = in.CloseWithError(io.ErrUnexpectedEOF)
				}()
				return &forward.UpstreamResponse{Status: 200, Body: out, Signed: true}
			}
		}
		req := request("stream")
		req.SharedParts = []uint64{part}
		resp := f.forwarder.Do(t.Context(), req)
		for _, engine := range []string{"x", "y"} {
			f.forwarder.Quarantine.RecordCrash(promptFeatures(part), engine, time.Now())
		}
		time.AfterFunc(time.Second, func() {
			f.forwarder.Quarantine.RecordSuccess(promptFeatures(part), time.Now(), time.Now())
		})
		ids, err := readEvents(t, resp)
		is.NoErr(err)
		is.Equal(ids, idsUpTo(eventCount))
	})
}

// A host that has just started learns which parts crash engines while its first requests
// wait.
func TestFirstRequestsOfAHostWaitForFindings(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const deadly, sound = 0xdead, 0xa1
		f := newFixture(10)
		known := make(chan struct{})
		f.forwarder.FindingsKnown = known
		send := func(part uint64) chan int {
			status := make(chan int, 1)
			go func() {
				req := request("stream")
				req.ID, req.SharedParts = fmt.Sprint("request-", part), []uint64{part}
				resp := f.forwarder.Do(t.Context(), req)
				defer func() { _ = resp.Body.Close() }()
				status <- resp.Status
			}()
			return status
		}
		refused, served := send(deadly), send(sound)
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(f.upstream.sent()), 0)
		f.forwarder.Quarantine.Merge(quarantine.Finding{Kind: quarantine.KindCrash, Feature: promptFeatures(deadly)[0], Generation: 1, Subject: "e9"}, time.Now())
		close(known)
		is.Equal(<-refused, http.StatusServiceUnavailable)
		is.Equal(<-served, http.StatusOK)
		is.Equal(len(f.upstream.sent()), 1)
	})
}

// A host whose peers do not reply serves all the same.
func TestFirstRequestsWaitOnlyShortly(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10)
		f.forwarder.FindingsKnown = make(chan struct{})
		req := request("stream")
		req.SharedParts = []uint64{1}
		resp := f.forwarder.Do(t.Context(), req)
		is.Equal(resp.Status, http.StatusOK)
		is.NoErr(resp.Body.Close())
	})
}
