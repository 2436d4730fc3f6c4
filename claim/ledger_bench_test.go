package claim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bulrushshed/claim"
	"bulrushshed/outcome"
)

// BenchmarkMemory measures the memory per key of a table and of a ledger.
func BenchmarkMemory(b *testing.B) {
	home := claim.Home{Host: "entry-1", Incarnation: 1}
	now := time.Now()
	for _, n := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				var m0, m1, m2 runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m0)
				t := claim.NewTable(claim.Options{KeyTTL: time.Hour, Capacity: n, MaxAnswerBytes: 1 << 10})
				for range n {
					k := claim.Issue(home, now)
					_, c := t.Begin(k.String(), k.Issued, 1, now)
					t.Finish(c, claim.Result{Answer: outcome.Answer{Status: 200, Body: make([]byte, 100)}})
				}
				runtime.GC()
				runtime.ReadMemStats(&m1)
				l := claim.NewLedger(time.Hour)
				for i := range n {
					l.Apply(int64(i), claim.Batch{Home: home, Seq: int64(i + 1), Outcomes: []claim.Outcome{
						{Key: claim.Issue(home, now).String(), Kind: outcome.Answered},
					}}, now)
				}
				runtime.GC()
				runtime.ReadMemStats(&m2)
				b.ReportMetric(float64(m1.HeapAlloc-m0.HeapAlloc)/float64(n), "B/claim")
				b.ReportMetric(float64(m2.HeapAlloc-m1.HeapAlloc)/float64(n), "B/outcome")
				runtime.KeepAlive(t)
				runtime.KeepAlive(l)
			}
		})
	}
}
