package meter_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bulrushshed/meter"
	"bulrushshed/outcome"
)

// BenchmarkCustomers reports the memory of the histograms for a number of
// customers.
func BenchmarkCustomers(b *testing.B) {
	for _, n := range []int{10, 1000, 5800, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				m := meter.New(6000, 100)
				for c := range n {
					name := fmt.Sprintf("customer-%d", c)
					for _, took := range []time.Duration{10, 50, 200, 900} {
						m.FirstToken(name, "assistant", took*time.Millisecond)
						m.BetweenTokens(name, "assistant", took*time.Millisecond/10)
						m.RequestDone(name, "assistant", outcome.Answered, "", took*10*time.Millisecond)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
				runtime.KeepAlive(m)
			}
		})
	}
}
