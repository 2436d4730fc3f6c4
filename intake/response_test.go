package intake_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/intake"
)

// Answers that callers do not read must not exceed the memory of the host together: further
// ones wait, and get the memory of those whose callers have not read for a while.
func TestLargeAnswersWaitForMemory(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const size, holders = 256 << 10, 8
	l := intake.NewLedger(4 * size)
	now := time.Unix(1000, 0)
	entries := make([]intake.Entry, holders)
	evicted := make([]*evictions, holders)
	granted := 0
	for i := range entries {
		evicted[i] = &evictions{}
		l.Open(&entries[i], evicted[i], 0, now)
		l.Complete(&entries[i])
		l.BeginWrite(&entries[i], now)
		if l.GrowResponse(&entries[i], size, now) {
			granted++
		}
	}
	is.Equal(granted, 3) // an eighth is kept for small requests
	last := &entries[holders-1]
	is.True(!l.GrowResponse(last, size, now.Add(4*time.Second)))
	for _, e := range evicted {
		is.Equal(e.writing, 0) // none has stalled for 5 s
	}
	is.True(!l.GrowResponse(last, size, now.Add(6*time.Second)))
	stopped := 0
	for i, e := range evicted {
		if e.writing > 0 {
			stopped++
			l.Close(&entries[i], now.Add(6*time.Second))
		}
	}
	is.True(stopped > 0 && stopped < holders)
	is.True(l.GrowResponse(last, size, now.Add(6*time.Second)))
	is.True(l.Stats().Reserved <= l.Stats().Capacity)
}

// evictions counts the evictions of an entry.
type evictions struct{ reading, writing int }

func (e *evictions) Evict(writing bool) {
	if writing {
		e.writing++
		return
	}
	e.reading++
}
