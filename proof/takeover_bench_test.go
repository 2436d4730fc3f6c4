package proof_test

import (
	"testing"
	"time"
)

// BenchmarkLeaseTakeover kills the lease holder and reports the mean time until
// another host holds the lease.
func BenchmarkLeaseTakeover(b *testing.B) {
	c := newCluster(b, 3, 1, twoPipelines[:2])
	c.eventually("an entry host holds the lease", func() bool { return c.leaseHolder() != "" })
	var sum time.Duration
	n := 0
	for b.Loop() {
		old := c.leaseHolder()
		start := time.Now()
		c.kill(old)
		c.eventually("another host holds the lease", func() bool {
			now := c.leaseHolder()
			return now != "" && now != old
		})
		sum += time.Since(start)
		n++
		c.startEntry(int(old[len(old)-1] - '0'))
		c.eventually("all entry hosts consider all hosts usable", c.allHostsUsable)
	}
	b.ReportMetric(float64(sum.Milliseconds())/float64(n), "ms-takeover")
}

// BenchmarkLayerReassignment kills the only engine that holds one half of the
// layers, and reports the time until all layers are held again.
func BenchmarkLayerReassignment(b *testing.B) {
	for b.Loop() {
		c := newCluster(b, 3, 1, halfModelEngines[:3], "-max-layers", "40")
		c.version = c.publish(c.version, autoPlacementRules("v1"))
		time.Sleep(2 * time.Second)
		start := time.Now()
		c.kill("fast-2")
		c.eventually("an engine has executed an order", func() bool { return c.orderCount(0)+c.orderCount(2) > 0 })
		c.eventually("all layers are held", func() bool {
			s, err := c.status(1)
			return err == nil && holdsAllLayers(s, "v1")
		})
		b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms-repair")
	}
}
