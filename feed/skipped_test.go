package feed_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/feed"
)

// A follower may be able to hold what its source has skipped, so the source must not pass
// off what it holds as complete.
func TestFollowerFetchesSkippedChange(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newReaderLog(newClock(time.Hour))
	fetches := func(next int64) bool { return l.Answer(t.Context(), feed.Request{Topic: topic, Next: next}).Fetch }
	l.Put(topic, feed.Page{Changes: []feed.Change{change(9, "b", "2")}, Skipped: []feed.Skipped{{Offset: 8, Key: "a", Bytes: 1 << 30}}, Next: 10}, false)
	is.True(fetches(-1)) // A snapshot lacks the change.
	is.True(fetches(8))
	is.True(!fetches(9))
	l.Put(topic, feed.Page{Changes: []feed.Change{change(10, "a", "3")}, Next: 11}, false)
	is.True(!fetches(-1))
	is.True(!fetches(8))
	l.Put(topic, feed.Page{Skipped: []feed.Skipped{{Offset: 11, Key: "a", Bytes: 1 << 30}}, Next: 12}, false)
	is.True(fetches(-1))
	l.Put(topic, feed.Page{Changes: []feed.Change{change(12, "a", "4")}, Next: 13}, true)
	is.True(!fetches(-1))
}
