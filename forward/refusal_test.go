package forward_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/forward"
)

// Engines refuse a stream before it begins and while it resumes. Sends that were refused
// are not attempts.
func TestRunningStreamOutlivesRefusals(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(100)
		const broken, last = 2, 5
		sends := 0
		serve := func(ctx context.Context, s forward.Send) *forward.UpstreamResponse {
			switch sends++; {
			case sends != broken && sends < last:
				a := answerWith(503, "")
				a.NotRun = true
				return a
			case sends == broken:
				out, in := io.Pipe()
				go func() {
					for id := 1; id <= 5; id++ {
						_, _ = fmt.Fprintf(in, "id: %d\ndata: t\n\n", id)
						time.Sleep(eventInterval)
					}
					_ = in.CloseWithError(io.ErrUnexpectedEOF)
				}()
				return &forward.UpstreamResponse{Status: 200, Body: out, Signed: true}
			}
			return f.upstream.stream(ctx, s)
		}
		f.upstream.streamBy["e0"], f.upstream.streamBy["e1"] = serve, serve
		resp := f.forwarder.Do(t.Context(), request("stream"))
		is.Equal(resp.Status, 200)
		ids, err := readEvents(t, resp)
		is.NoErr(err)
		is.Equal(ids, idsUpTo(eventCount))
	})
}

// An engine that has just refused a stream must not be asked again at once.
func TestRefusingEngineIsNotAskedAgainAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(100)
		asked := map[string]time.Time{}
		refuse := func(_ context.Context, s forward.Send) *forward.UpstreamResponse {
			if last, ok := asked[s.Replica.ID]; ok && time.Since(last) < 300*time.Millisecond {
				t.Errorf("engine %s: got a send %v after its refusal, want at least 300 ms", s.Replica.ID, time.Since(last))
			}
			asked[s.Replica.ID] = time.Now()
			a := answerWith(503, "")
			a.NotRun = true
			a.FailedEngine = "e2"
			return a
		}
		f.upstream.streamBy["e0"], f.upstream.streamBy["e1"] = refuse, refuse
		resp := f.forwarder.Do(t.Context(), request("stream"))
		is.Equal(resp.Status, 503)
		is.True(resp.RetryAfter > 0)
	})
}
