package feed_test

import (
	"testing"
	"time"

	"bulrushshed/feed"
)

// Reads that fail are spaced out, but not so far that a host which was cut off lacks
// news for long: it has 3 s, of which a hanging read and a connection take 1.3 s.
func TestReadsThatFailAreSpaced(t *testing.T) {
	t.Parallel()
	for _, fed := range []bool{false, true} {
		var b feed.Backoff
		for range 3 {
			sum := time.Duration(0)
			for i := range 200 {
				wait := b.Failed(fed)
				sum += wait
				if wait > 1100*time.Millisecond {
					t.Fatalf("fed %v: got a wait of %v behind failure %d, want at most 1.1 s", fed, wait, i)
				}
				if i == 0 && wait > 150*time.Millisecond {
					t.Errorf("fed %v: got a first wait of %v, want at most 150 ms", fed, wait)
				}
			}
			if sum < 200*300*time.Millisecond {
				t.Errorf("fed %v: got %v for 200 failures, want them spaced", fed, sum)
			}
			b.Succeeded()
		}
	}
}
