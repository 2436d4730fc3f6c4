package loop

import (
	"context"
	"time"
)

// SleepContext sleeps for d or until ctx is done, whichever comes first.
func SleepContext(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
