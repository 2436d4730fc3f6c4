package loop_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/loop"
)

func TestEvery(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		calls := 0
		done := loop.Every(ctx, time.Second, func(context.Context) { calls++ })
		time.Sleep(2500 * time.Millisecond)
		synctest.Wait()
		is.Equal(calls, 3) // at 0, 1 and 2 s
		cancel()
		is.NoErr(<-done)
		time.Sleep(5 * time.Second)
		is.Equal(calls, 3)
	})
}
