package loop_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bulrushshed/loop"
)

// A pause takes its time, or until its context ends.
func TestPause(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ pause, end, want time.Duration }{
		{time.Second, time.Minute, time.Second}, {time.Minute, time.Second, time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), c.end)
			defer cancel()
			began := time.Now()
			loop.Pause(ctx, c.pause)
			if got := time.Since(began); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
