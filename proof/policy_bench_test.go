package proof_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"bulrushshed/caller"
	"bulrushshed/jsonhttp"
)

// BenchmarkGoodput sends completions at half, once and twice the rate that the
// engines can carry, and prints the share of that rate that was whole and in
// time.
func BenchmarkGoodput(b *testing.B) {
	const tokens = 20
	engines := []engineSpec{
		{"fast-1", "a", "0-48", 500 * time.Microsecond},
		{"fast-2", "b", "40-80", 500 * time.Microsecond},
		{"slow-1", "c", "0-40", time.Millisecond},
		{"slow-2", "a", "40-80", time.Millisecond},
	}
	capacity := bound(engines) / tokens
	for _, row := range []struct {
		name   string
		rate   float64
		pinned bool
	}{{"half", 0.5, false}, {"once", 1, false}, {"twice", 2, false}, {"once over one of two hosts", 1, true}} {
		b.Run(row.name, func(b *testing.B) {
			c := newCluster(b, 2, 1, engines, "-slots", "8", "-slowdown", "0", "-stage-timeout", "10s")
			text := strings.Replace(rules, "objective=recovery deadline=30s", "objective=throughput deadline=4s", 1)
			c.version = c.publish(c.version, text)
			time.Sleep(2 * time.Second)
			for b.Loop() {
				const d = 15 * time.Second
				o := c.load(capacity*row.rate, d)
				o.Calls, o.Checks, o.MaxTokens, o.MaxAttempts = 0, 0, tokens, 1
				if row.pinned {
					o.Seeds, o.SeedsOnly = o.Seeds[:1], true
				}
				r := c.play(o, nil)
				b.ReportMetric(float64(r.Complete)/d.Seconds()/capacity, "goodput")
				b.ReportMetric(r.FirstToken.P95, "ms-first-token-p95")
				b.ReportMetric(r.BetweenTokens.P95, "ms-between-p95")
				b.ReportMetric(float64(len(r.TokenErrors)), "tokens-wrong")
			}
		})
	}
}

// BenchmarkLimit sends at twice a customer's limit over three hosts, whose
// shares of it move as the load moves from all of them to one, and prints what
// was let in beside the limit.
func BenchmarkLimit(b *testing.B) {
	const rate, d = 40.0, 10 * time.Second
	c := newCluster(b, 3, 2, twoPipelines[:2])
	text := rules + "limit customer=puebla rate=40 burst=10 # test: a limit\n"
	c.version = c.publish(c.version, text)
	time.Sleep(2 * time.Second)
	for b.Loop() {
		o := c.load(2*rate, d)
		o.Calls, o.Checks, o.Customers, o.MaxAttempts = 0, 1, []string{"puebla"}, 1
		b.ReportMetric(float64(c.play(o, nil).Complete)/(rate*d.Seconds()), "of-limit-over-three")
		o.Seeds, o.SeedsOnly = o.Seeds[:1], true
		b.ReportMetric(float64(c.play(o, nil).Complete)/(rate*d.Seconds()), "of-limit-over-one")
	}
}

// BenchmarkAddedLatency times stock checks through an entry host and straight to
// the service, one after the other, and prints what the host adds.
func BenchmarkAddedLatency(b *testing.B) {
	const calls = 2000
	c := newCluster(b, 1, 1, twoPipelines[:2])
	client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	pid := c.procs["entry-1"].Process.Pid
	timed := func(address string) []time.Duration {
		var all []time.Duration
		for range calls {
			start := time.Now()
			_, err := client.Do(jsonhttp.Request{
				Method: http.MethodGet, URL: "http://" + address + "/stock/pallets", Timeout: patience,
				Headers: map[string]string{caller.HeaderCustomer: "puebla"},
			})
			c.must(err)
			all = append(all, time.Since(start))
		}
		slices.Sort(all)
		return all
	}
	for b.Loop() {
		direct := timed(c.service(1))
		before := processorTime(b, pid)
		through := timed(c.caller(1))
		used := processorTime(b, pid) - before
		at := func(all []time.Duration, q float64) float64 {
			return float64(all[int(q*float64(len(all)))].Microseconds())
		}
		b.ReportMetric(at(through, 0.5)-at(direct, 0.5), "us-added-p50")
		b.ReportMetric(at(through, 0.99)-at(direct, 0.99), "us-added-p99")
		b.ReportMetric(calls/used, "requests/core-s")
	}
}

// BenchmarkInForce publishes one change after another and prints how long after
// its acceptance each is in force on nine hosts.
func BenchmarkInForce(b *testing.B) {
	c := newCluster(b, 9, 1, twoPipelines[:2])
	for b.Loop() {
		var late []time.Duration
		for n := range 30 {
			c.version = c.publish(c.version, withLimit(n))
			start := time.Now()
			for host := 1; host <= c.entries; host++ {
				for s, err := c.status(host); err != nil || s.Rules.Version < c.version; s, err = c.status(host) {
					time.Sleep(2 * time.Millisecond)
				}
				late = append(late, time.Since(start))
			}
		}
		slices.Sort(late)
		b.ReportMetric(float64(late[len(late)*99/100].Milliseconds()), "ms-p99-in-force")
	}
}
