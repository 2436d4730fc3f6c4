package proof_test

import (
	"testing"
	"time"
)

// BenchmarkTakeover kills the holder of the lease and prints how long nobody
// held it.
func BenchmarkTakeover(b *testing.B) {
	c := newCluster(b, 3, 1, twoPipelines[:2])
	c.eventually("somebody holds the lease", func() bool { return c.holder() != "" })
	var sum time.Duration
	n := 0
	for b.Loop() {
		old := c.holder()
		start := time.Now()
		c.kill(old)
		c.eventually("another host holds the lease", func() bool {
			now := c.holder()
			return now != "" && now != old
		})
		sum += time.Since(start)
		n++
		c.startEntry(int(old[len(old)-1] - '0'))
		c.eventually("all entry hosts see all", c.allSeeAll)
	}
	b.ReportMetric(float64(sum.Milliseconds())/float64(n), "ms-takeover")
}

// BenchmarkRepair kills the only engine that holds half of the layers, and
// prints how long until all layers are held again.
func BenchmarkRepair(b *testing.B) {
	for b.Loop() {
		c := newCluster(b, 3, 1, halves[:3], "-max-layers", "40")
		c.version = c.publish(c.version, placed("v1"))
		time.Sleep(2 * time.Second)
		start := time.Now()
		c.kill("fast-2")
		c.eventually("an engine carries out an order", func() bool { return c.ordersOf(0)+c.ordersOf(2) > 0 })
		c.eventually("all layers are held", func() bool {
			s, err := c.status(1)
			return err == nil && holdsAll(s, "v1")
		})
		b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms-repair")
	}
}
