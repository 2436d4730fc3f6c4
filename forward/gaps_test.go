package forward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A stream whose events come often must notice a failed engine before its caller does: the
// fixture's events are 10 ms apart, and the caller waits until the stream goes on.
func TestFrequentEventsShortenDetection(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10)
		f.upstream.events = 100
		resp := f.forwarder.Do(t.Context(), request("stream"))
		address := f.upstream.sent()[0].Path.Hops[1].Address
		var downAt time.Time
		time.AfterFunc(300*time.Millisecond, func() {
			f.upstream.takeDown(address)
			downAt = time.Now()
		})
		ids, err := readEvents(t, resp)
		is.NoErr(err)
		is.Equal(ids, idsUpTo(100))
		is.Equal(f.upstream.repaths, 1)
		// The check of an engine that does not answer takes 70 ms.
		is.True(f.upstream.repathedAt.Sub(downAt) <= 150*time.Millisecond)
	})
}
