package proof_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"bulrushshed/jsonhttp"
	"bulrushshed/settings"
)

// alarms sums up the attempts that entry hosts gave up for silence.
func (c *cluster) alarms() (total float64) {
	client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	for n := 1; n <= c.entries; n++ {
		r, err := client.Do(jsonhttp.Request{Method: "GET", URL: "http://" + c.operator(n) + "/metrics", Timeout: patience})
		c.must(err)
		_, rest, found := strings.Cut(string(r.Body), `bulrushshed_resumes_total{cause="silence"} `)
		if !found {
			continue
		}
		v, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		c.must(err)
		total += v
	}
	return total
}

// BenchmarkDetection prints, for some times of detection, how often a healthy
// engine was taken for dead under twice the load, and the gap that callers saw
// when engines froze.
func BenchmarkDetection(b *testing.B) {
	for _, ms := range []int{25, 50, 100, 250, 500} {
		b.Run(fmt.Sprintf("%dms", ms), func(b *testing.B) {
			c := newCluster(b, 0, 1, twoPipelines, "-slots", "8")
			c.entries = 2
			change := func(s *settings.Settings) {
				s.Times.ProbeAfter = settings.Duration(time.Duration(ms) * time.Millisecond)
				s.Times.Probe = s.Times.ProbeAfter
			}
			c.startEntry(1, change)
			c.startEntry(2, change)
			c.version = c.publish(0, rules)
			c.eventually("all entry hosts see all", c.allSeeAll)
			for b.Loop() {
				c.saturate(200, 5*time.Second)
				b.ReportMetric(c.alarms(), "false-alarms")
				r := c.play(c.streamLoad(40, 9*time.Second), script{
					{1 * time.Second, func() { c.freeze("fast-1") }},
					{2 * time.Second, func() { c.thaw("fast-1") }},
					{5 * time.Second, func() { c.freeze("fast-2") }},
					{6 * time.Second, func() { c.thaw("fast-2") }},
				})
				b.ReportMetric(r.Stall.P95, "ms-gap-p95")
				b.ReportMetric(float64(r.Sent-r.Complete), "not-whole")
			}
		})
	}
}
