package proof_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bulrushshed/caller"
	"bulrushshed/jsonhttp"
	"bulrushshed/route"
)

// heterogeneousEngines are three pipelines with accelerators of different speeds
// and overlapping stages.
var heterogeneousEngines = []engineSpec{
	{"fast-1", "a", "0-48", 500 * time.Microsecond},
	{"fast-2", "a", "40-80", 500 * time.Microsecond},
	{"mid-1", "b", "0-30", 750 * time.Microsecond},
	{"mid-2", "b", "24-56", 750 * time.Microsecond},
	{"mid-3", "b", "50-80", 750 * time.Microsecond},
	{"slow-1", "c", "0-24", time.Millisecond},
	{"slow-2", "c", "20-44", time.Millisecond},
	{"slow-3", "c", "40-62", time.Millisecond},
	{"slow-4", "c", "58-80", time.Millisecond},
}

// benchSlots is the number of batch slots of each engine.
const benchSlots = 8

// maxThroughput returns the maximum throughput of a set of engines in tokens per
// second, computed as a maximum flow.
func maxThroughput(engines []engineSpec) float64 {
	var holdings []route.Holding
	for _, e := range engines {
		h := route.Holding{LayerTime: e.layerTime, Slots: benchSlots}
		if _, err := fmt.Sscanf(e.layers, "%d-%d", &h.Layers.From, &h.Layers.To); err != nil {
			panic(err)
		}
		holdings = append(holdings, h)
	}
	return route.MaxFlow(modelLayers, holdings)
}

// BenchmarkThroughput keeps more streams open than the engines have slots, and
// reports the throughput and its ratio to the theoretical maximum.
func BenchmarkThroughput(b *testing.B) {
	for _, objective := range []string{"throughput", "recovery"} {
		b.Run(objective, func(b *testing.B) {
			c := newCluster(b, 2, 1, heterogeneousEngines, "-slots", fmt.Sprint(benchSlots), "-slowdown", "0", "-stage-timeout", "10s")
			c.publish(c.version, strings.Replace(baseRules, "objective=recovery", "objective="+objective, 1))
			time.Sleep(2 * time.Second)
			for b.Loop() {
				rate := c.saturate(240, 5*time.Second)
				b.ReportMetric(rate, "tokens/s")
				b.ReportMetric(rate/maxThroughput(heterogeneousEngines), "of-bound")
			}
		})
	}
}

// warmUpTime is the time before the measurement interval.
const warmUpTime = 3 * time.Second

// saturate keeps the given number of streams open, and returns their total
// throughput in tokens per second over d, after the warm-up.
func (c *cluster) saturate(streams int, d time.Duration) float64 {
	client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	var tokens atomic.Int64
	var wg sync.WaitGroup
	from := time.Now().Add(warmUpTime)
	to := from.Add(d)
	for n := range streams {
		wg.Go(func() {
			for time.Now().Before(to) {
				s, err := client.Open(c.t.Context(), jsonhttp.Request{
					Method: http.MethodPost, URL: "http://" + c.caller(1+n%c.entries) + "/v1/completions", Timeout: waitTimeout,
					Headers: map[string]string{caller.HeaderCustomer: "puebla"},
					Body:    fmt.Appendf(nil, `{"model":"assistant","prompt":"p%d","max_tokens":50}`, n),
				})
				if err != nil {
					continue
				}
				lines := bufio.NewScanner(s)
				for lines.Scan() {
					now := time.Now()
					if strings.Contains(lines.Text(), `"text":"`) && now.After(from) && now.Before(to) {
						tokens.Add(1)
					}
				}
				s.Close()
			}
		})
	}
	wg.Wait()
	return float64(tokens.Load()) / d.Seconds()
}
