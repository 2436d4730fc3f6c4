package loop

import (
	"context"
	"time"
)

// Every calls f at once and then once per period in a new goroutine until ctx
// is done. It then sends nil on the returned channel.
func Every(ctx context.Context, period time.Duration, f func(ctx context.Context)) <-chan error {
	done := make(chan error, 1)
	go func() {
		t := time.NewTicker(period)
		defer t.Stop()
		for ctx.Err() == nil {
			f(ctx)
			select {
			case <-t.C:
			case <-ctx.Done():
			}
		}
		done <- nil
	}()
	return done
}
