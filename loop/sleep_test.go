package loop_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bulrushshed/loop"
)

func TestSleepContext(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ sleep, end, want time.Duration }{
		{time.Second, time.Minute, time.Second}, {time.Minute, time.Second, time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), c.end)
			defer cancel()
			start := time.Now()
			loop.SleepContext(ctx, c.sleep)
			if got := time.Since(start); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
