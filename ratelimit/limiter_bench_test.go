package ratelimit_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"bulrushshed/ratelimit"
)

// BenchmarkAcquire asks for permits at the responsible host itself, while few and many
// replicas name a limit, and for a replica without one.
func BenchmarkAcquire(b *testing.B) {
	for _, replicas := range []int{0, 10, 2048} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			limits := newLimits(nil)
			for n := range replicas {
				limits.Record(fmt.Sprint("e/", n), named(1e9), time.Now(), time.Now())
			}
			l := ratelimit.NewLimiter(limits, ratelimit.SingleHost{}, slog.New(slog.DiscardHandler))
			b.ReportAllocs()
			for b.Loop() {
				l.Acquire(b.Context(), "e/0", ratelimit.Need{})
			}
		})
	}
}
