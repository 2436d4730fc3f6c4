package proof_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkResume kills or suspends one stage after another under load, and
// reports the gaps between tokens that callers saw.
func BenchmarkResume(b *testing.B) {
	for _, fault := range []string{"kill", "freeze"} {
		b.Run(fault, func(b *testing.B) {
			c := newCluster(b, 3, 1, twoPipelines)
			var s schedule
			at := time.Second
			for round := range 8 {
				n := round % len(c.engines)
				name := c.engines[n].name
				if fault == "kill" {
					s = append(s, scheduledAction{at, func() { c.kill(name) }}, scheduledAction{at + time.Second, func() { c.startEngine(n) }})
				} else {
					s = append(s, scheduledAction{at, func() { c.suspend(name) }}, scheduledAction{at + time.Second, func() { c.resume(name) }})
				}
				at += 4 * time.Second
			}
			for b.Loop() {
				o := c.streamLoad(60, at)
				r := c.runLoad(o, s)
				b.ReportMetric(float64(r.Stalled), "stalled")
				b.ReportMetric(r.Stall.P50, "ms-gap-p50")
				b.ReportMetric(r.Stall.P95, "ms-gap-p95")
				b.ReportMetric(float64(len(r.TokenErrors)), "tokens-wrong")
				b.ReportMetric(float64(r.Sent-r.Complete), "not-whole")
			}
		})
	}
}

// BenchmarkIdleEntryHost reports the resource use of an entry host without
// requests, by number of engines.
func BenchmarkIdleEntryHost(b *testing.B) {
	for _, n := range []int{5, 20, 40} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var engines []engineSpec
			for i := range n {
				spec := twoPipelines[i%len(twoPipelines)]
				spec.name = fmt.Sprintf("engine-%d", i)
				engines = append(engines, spec)
			}
			c := newCluster(b, 9, 3, engines)
			pid := c.procs["entry-1"].Process.Pid
			time.Sleep(3 * time.Second)
			for b.Loop() {
				const d = 10 * time.Second
				before, bytes := cpuTime(b, pid), ioBytes(b, pid)
				time.Sleep(d)
				b.ReportMetric((ioBytes(b, pid)-bytes)/d.Seconds(), "B/s")
				b.ReportMetric((cpuTime(b, pid)-before)/d.Seconds()*100, "%core")
				b.ReportMetric(residentMemory(b, pid), "MB")
			}
		})
	}
}
