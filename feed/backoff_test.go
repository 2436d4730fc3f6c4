package feed_test

import (
	"testing"
	"time"

	"bulrushshed/feed"
)

// maxDelay is the time that is left of the 3 s in which a host must catch up. A hanging
// read takes 0.8 s of that, and a connection to another host, which a follower that hears
// from its source has already, 0.5 s.
var maxDelay = map[feed.Role]time.Duration{
	feed.Reader: 1100 * time.Millisecond, feed.Follower: 1100 * time.Millisecond, feed.WaitingFollower: 2200 * time.Millisecond,
}

// Failing reads must be spaced out, but a host whose connection was interrupted
// has only 3 s to catch up.
func TestBackoffDelayBounds(t *testing.T) {
	t.Parallel()
	for _, role := range []feed.Role{feed.Reader, feed.Follower, feed.WaitingFollower} {
		var b feed.Backoff
		for range 3 {
			sum := time.Duration(0)
			for i := range 200 {
				wait := b.RecordFailure(role)
				sum += wait
				if wait > maxDelay[role] {
					t.Fatalf("role %v: got a delay of %v after failure %d, want at most %v", role, wait, i, maxDelay[role])
				}
				if i == 0 && wait > 150*time.Millisecond {
					t.Errorf("role %v: got an initial delay of %v, want at most 150 ms", role, wait)
				}
			}
			if sum < 200*300*time.Millisecond {
				t.Errorf("role %v: got a total delay of %v for 200 failures, want at least 60 s", role, sum)
			}
			b.RecordSuccess()
		}
	}
}

// Each host of a large fleet that read a store in an outage as often as its readers
// would multiply the calls that the store must refuse.
func TestFollowersOfRespondingSourcesRetryLess(t *testing.T) {
	t.Parallel()
	reads := func(role feed.Role) int {
		const outages, outage = 50, 8 * time.Second
		n := 0
		for range outages {
			var b feed.Backoff
			for at := time.Duration(0); at < outage; at += b.RecordFailure(role) {
				n++
			}
		}
		return n
	}
	if got, others := reads(feed.WaitingFollower), reads(feed.Follower); got > others*2/3 {
		t.Errorf("got %d reads, want at most two thirds of the %d of a follower whose source is silent", got, others)
	}
}
