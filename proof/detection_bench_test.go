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

// falseSuspicions returns the number of attempts that the entry hosts have
// abandoned because the engine was silent. While all engines are alive, each of
// them is a false alarm.
func (c *cluster) falseSuspicions() (total float64) {
	client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	for n := 1; n <= c.entries; n++ {
		r, err := client.Do(jsonhttp.Request{Method: "GET", URL: "http://" + c.operatorAddress(n) + "/metrics", Timeout: waitTimeout})
		c.noError(err)
		_, rest, found := strings.Cut(string(r.Body), `bulrushshed_resumes_total{cause="silence"} `)
		if !found {
			continue
		}
		v, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		c.noError(err)
		total += v
	}
	return total
}

// BenchmarkDetection reports, for several failure detection times, the number
// of healthy engines that were falsely suspected under overload, and the gap
// between tokens that callers saw when engines hung.
func BenchmarkDetection(b *testing.B) {
	for _, ms := range []int{25, 50, 100, 250, 500} {
		b.Run(fmt.Sprintf("%dms", ms), func(b *testing.B) {
			c := newCluster(b, 0, 1, twoPipelines, "-slots", "8")
			c.entries = 2
			configure := func(s *settings.Settings) {
				s.Times.ProbeAfter = settings.Duration(time.Duration(ms) * time.Millisecond)
				s.Times.Probe = s.Times.ProbeAfter
			}
			c.startEntry(1, configure)
			c.startEntry(2, configure)
			c.version = c.publish(0, baseRules)
			c.eventually("all entry hosts consider all hosts usable", c.allHostsUsable)
			for b.Loop() {
				c.saturate(200, 5*time.Second)
				b.ReportMetric(c.falseSuspicions(), "false-alarms")
				r := c.runLoad(c.streamLoad(40, 9*time.Second), schedule{
					{1 * time.Second, func() { c.suspend("fast-1") }},
					{2 * time.Second, func() { c.resume("fast-1") }},
					{5 * time.Second, func() { c.suspend("fast-2") }},
					{6 * time.Second, func() { c.resume("fast-2") }},
				})
				b.ReportMetric(r.Stall.P95, "ms-gap-p95")
				b.ReportMetric(float64(r.Sent-r.Complete), "not-whole")
			}
		})
	}
}
