package proof_test

import (
	"testing"
	"time"

	"bulrushshed/history"
)

// BenchmarkServiceDrain drains a service replica under load, which then answers
// new calls with "not run". It reports the time from the start of the drain to
// the last call that an entry host sent to the replica, and the number of calls
// that the replica refused.
func BenchmarkServiceDrain(b *testing.B) {
	c := newCluster(b, 3, 3, twoPipelines)
	var worst time.Duration
	for b.Loop() {
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.runLoad(c.mixedLoad(100, 8*time.Second), nil)
		}()
		time.Sleep(2 * time.Second)
		start := time.Now()
		c.drainService(1)
		<-done
		var refused []history.Execution
		c.noError(c.get("http://"+c.serviceAddress(1)+"/refused", &refused))
		for _, e := range refused {
			worst = max(worst, e.At.Sub(start))
		}
		b.ReportMetric(float64(len(refused)), "refused")
	}
	b.ReportMetric(float64(worst.Milliseconds()), "ms-until-no-new-work")
}

// drainService drains a service replica: it refuses new work from then on.
func (c *cluster) drainService(n int) {
	c.t.Helper()
	c.noError(c.post("http://"+c.serviceAddress(n)+"/drain", nil))
}
