package feed_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bulrushshed/feed"
)

// Fencing tokens must increase as generations do, also where a restore takes the number
// back, and be the number itself before any restore.
func TestFenceIncreasesWithGenerations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.Equal(feed.Generation{Number: 7}.Fence(), int64(7))
	is.Equal(feed.Generation{Era: feed.FirstEra, Number: 7}.Fence(), int64(7))
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) feed.Generation {
			return feed.Generation{Era: rapid.Int64Range(feed.FirstEra, 1<<20).Draw(t, name+" era"), Number: rapid.Int64Range(0, 1<<31).Draw(t, name+" number")}
		}
		g, h := draw("g"), draw("h")
		if before := g.Compare(h) < 0; before != (g.Fence() < h.Fence()) {
			t.Errorf("generations %v and %v: got tokens %d and %d, want the same order", g, h, g.Fence(), h.Fence())
		}
	})
}
