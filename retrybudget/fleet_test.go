package retrybudget_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/retrybudget"
)

// equalShares is the former budget of a host, without borrowing: 0.8 of what its own
// requests allow, and 0.8 of its share of the extra part, in eleven buckets of a tenth of a
// window.
type equalShares struct {
	extra, ratio float64
	requests     map[int64]float64
	retries      map[int64]float64
}

func newEqualShares(opts retrybudget.Options, hosts int) *equalShares {
	return &equalShares{extra: 0.8 * opts.Extra / float64(hosts), ratio: 0.8 * opts.Ratio, requests: map[int64]float64{}, retries: map[int64]float64{}}
}

func (e *equalShares) allow(now time.Duration) bool {
	bucket := int64(now / (window / 10))
	requests, spent := 0.0, e.retries[bucket-10]
	for k := bucket - 9; k <= bucket; k++ {
		requests += e.requests[k]
		spent += e.retries[k]
	}
	if spent+1 > e.ratio*requests+e.extra {
		return false
	}
	e.retries[bucket]++
	return true
}

// demand is a number of retries that hosts try again and again.
type demand struct {
	// hosts is the number of hosts, and rate how many retries each tries in 100 ms.
	hosts, rate int
	lasting     time.Duration
}

// formerRetries returns the retries that equal shares allow after a calm time.
func formerRetries(opts retrybudget.Options, hosts, requests int, d demand) int {
	got := 0
	for i := range d.hosts {
		e := newEqualShares(opts, hosts)
		const tick = 100 * time.Millisecond
		began := time.Hour + time.Duration(i)*tick
		for now := began; now < began+time.Minute+d.lasting; now += tick {
			e.requests[int64(now/(window/10))] += float64(requests / 10)
			for range d.rate {
				if now >= began+time.Minute && e.allow(now) {
					got++
				}
			}
		}
	}
	return got
}

// retries returns the retries that the budget allows after a calm time.
func retries(opts retrybudget.Options, hosts, requests int, d demand) int {
	n := newNetwork(hosts, opts)
	n.run(time.Minute, requests)
	var got atomic.Int64
	var all sync.WaitGroup
	all.Go(func() { n.run(d.lasting, requests) })
	for range d.lasting / (100 * time.Millisecond) {
		for i := range d.hosts {
			all.Go(func() { got.Add(int64(n.burst(i, d.rate, retrybudget.Retry{}))) })
		}
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	return int(got.Load())
}

// A small fleet gets at least as many retries as with equal shares, wherever and for
// however long they are needed, and most of what the rule allows.
func TestSmallFleetGetsMostOfTheRule(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		hosts   int
		demand  demand
		atLeast float64
	}{
		{"one host, 1 s", 7, demand{1, 100, time.Second}, 0.3},
		{"one host, 10 s", 7, demand{1, 100, 10 * time.Second}, 0.7},
		{"one host, 60 s", 7, demand{1, 100, time.Minute}, 0.7},
		{"all hosts, at once", 7, demand{7, 200, 100 * time.Millisecond}, 0.7},
		{"all hosts, 10 s", 7, demand{7, 10, 10 * time.Second}, 0.7},
		{"all hosts, 60 s", 7, demand{7, 10, time.Minute}, 0.7},
		{"six hosts, 10 s", 6, demand{6, 10, 10 * time.Second}, 0.7},
		{"nine hosts, 10 s", 9, demand{9, 10, 10 * time.Second}, 0.7},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const requests = 10 // of each host in a second
				opts := retrybudget.Options{Ratio: 0.2, Extra: 198}
				former := formerRetries(opts, c.hosts, requests, c.demand)
				got := retries(opts, c.hosts, requests, c.demand)
				windows := max(c.demand.lasting.Seconds()/window.Seconds(), 1)
				rule := (opts.Ratio*float64(c.hosts*(requests))*window.Seconds() + opts.Extra) * windows
				t.Logf("got %d, with equal shares %d, of %.0f in all windows", got, former, rule)
				is.True(got >= former)
				is.True(float64(got) >= c.atLeast*rule)
			})
		})
	}
}
