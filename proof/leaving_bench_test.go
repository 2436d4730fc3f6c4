package proof_test

import (
	"testing"
	"time"

	"bulrushshed/history"
)

// BenchmarkLeaving drains a service replica under load, which answers "not
// run" from then on, and prints how long after the first such sign any entry
// host still sent it new work. Refused calls are counted by the replica.
func BenchmarkLeaving(b *testing.B) {
	c := newCluster(b, 3, 3, twoPipelines)
	var worst time.Duration
	for b.Loop() {
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.play(c.load(100, 8*time.Second), nil)
		}()
		time.Sleep(2 * time.Second)
		start := time.Now()
		c.signalLeaving(1)
		<-done
		var refused []history.Execution
		c.must(c.get("http://"+c.service(1)+"/refused", &refused))
		for _, e := range refused {
			worst = max(worst, e.At.Sub(start))
		}
		b.ReportMetric(float64(len(refused)), "refused")
	}
	b.ReportMetric(float64(worst.Milliseconds()), "ms-until-no-new-work")
}

// signalLeaving makes a replica refuse new work, as one that drains.
func (c *cluster) signalLeaving(n int) {
	c.t.Helper()
	c.must(c.post("http://"+c.service(n)+"/drain", nil))
}
