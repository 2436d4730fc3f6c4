package feed_test

import (
	"testing"
	"time"

	"bulrushshed/feed"
)

// Failing reads must be spaced out, but a host whose connection was interrupted
// has only 3 s to catch up. A hanging read and a connection take 1.3 s of that.
func TestBackoffDelayBounds(t *testing.T) {
	t.Parallel()
	for _, follower := range []bool{false, true} {
		var b feed.Backoff
		for range 3 {
			sum := time.Duration(0)
			for i := range 200 {
				wait := b.RecordFailure(follower)
				sum += wait
				if wait > 1100*time.Millisecond {
					t.Fatalf("follower %v: got a delay of %v after failure %d, want at most 1.1 s", follower, wait, i)
				}
				if i == 0 && wait > 150*time.Millisecond {
					t.Errorf("follower %v: got an initial delay of %v, want at most 150 ms", follower, wait)
				}
			}
			if sum < 200*300*time.Millisecond {
				t.Errorf("follower %v: got a total delay of %v for 200 failures, want at least 60 s", follower, sum)
			}
			b.RecordSuccess()
		}
	}
}
