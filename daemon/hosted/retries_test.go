package hosted_test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/settings"
)

const (
	// retryWindow and retryExtra are the retry budget of the tests, without a part for
	// the requests.
	retryWindow = 4 * time.Second
	retryExtra  = 50
)

// repeats records when replicas receive requests that one of them has received before.
type repeats struct {
	mu    sync.Mutex
	seen  map[string]bool
	times []time.Time
}

func (r *repeats) record(id string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen[id] {
		r.times = append(r.times, time.Now())
	}
	r.seen[id] = true
}

// count returns the number of repeats, and the most that were within a window.
func (r *repeats) count() (all, most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortFunc(r.times, time.Time.Compare)
	first := 0
	for i, t := range r.times {
		for t.Sub(r.times[first]) >= retryWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return len(r.times), most
}

// newRefusingFleet returns a fleet whose plain replicas refuse all requests and record the
// repeats.
func newRefusingFleet(t *testing.T, hosts int, grace time.Duration) (f *fleet, r *repeats) {
	t.Helper()
	f, r = newFleet(t, 0), &repeats{seen: map[string]bool{}}
	f.grace = grace
	var starts atomic.Int32
	f.adjust = func(_ int, cfg *settings.Host) {
		// A host that stops frees only its address for callers while this process runs.
		ip, _, _ := strings.Cut(cfg.CallerAddress, ":")
		port := 9000 + 4*starts.Add(1)
		for i, address := range []*string{&cfg.ReadyAddress, &cfg.DirectoryAddress, &cfg.MetricsAddress, &cfg.PeerAddress} {
			*address = fmt.Sprintf("%s:%d", ip, port+int32(i))
		}
		cfg.RetryRatio, cfg.RetryExtra, cfg.RetryWindow = 0, retryExtra, settings.Duration(retryWindow)
	}
	for i := range hosts {
		f.hosts = append(f.hosts, f.start(t, i))
	}
	for _, p := range f.plain {
		p.set(func(p *replicaStandIn) { p.retryAfter, p.repeats = "none", r })
	}
	for _, h := range f.hosts {
		await(t, "directory response with all hosts", func() bool { return slices.Equal(h.addresses(t), f.callerAddresses()) })
	}
	return f, r
}

// metric returns the value of a metric of the host, or 0.
func (h *entryHost) metric(t *testing.T, name string) float64 {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+h.cfg.MetricsAddress+"/metrics", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	found := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\S+)$`).FindSubmatch(text)
	if found == nil {
		return 0
	}
	value, err := strconv.ParseFloat(string(found[1]), 64)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func tokensMetric(event string) string {
	return fmt.Sprintf(`bulrushshed_retry_tokens_total{service="plain",event=%q}`, event)
}

// A host that has used its own share gets retries out of the shares of others.
func TestHostWithoutRetriesBorrowsSome(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const hosts = 3
	f, r := newRefusingFleet(t, hosts, time.Second)
	h := f.hosts[0]
	is.Equal(statusOf(h.request(t, "GET", "/stock/1", "k1")), 503) // which opens its account
	for _, other := range f.hosts {
		other.request(t, "GET", "/stock/1", "k1")
		await(t, "whole share", func() bool { return other.metric(t, "bulrushshed_retry_tokens") > 13 })
	}
	const share = 14 // at most 0.8 of a third
	before, _ := r.count()
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			for range 25 {
				h.request(t, "GET", "/stock/1", "k1")
			}
		})
	}
	all.Wait()
	got, most := r.count()
	t.Logf("got %d repeats with a share of %d, at most %d in a window", got-before, share, most)
	is.True(got-before > share)
	is.True(most <= retryExtra)
	is.True(h.metric(t, tokensMetric("borrowed")) > 0)
	is.True(f.hosts[1].metric(t, tokensMetric("lent"))+f.hosts[2].metric(t, tokensMetric("lent")) > 0)
	is.True(h.metric(t, tokensMetric("refused")) > 0)
}

// While all hosts are restarted one after the other, each sees few others, and those that
// have left the group still serve. Together they stay within the retry budget.
func TestRetryBudgetHoldsInRollingRestart(t *testing.T) {
	t.Parallel()
	const hosts, gap, rounds = 5, 300 * time.Millisecond, 2
	f, r := newRefusingFleet(t, hosts, 6*time.Second)
	var mu sync.Mutex
	current := func(i int) *entryHost {
		mu.Lock()
		defer mu.Unlock()
		return f.hosts[i]
	}
	stop := make(chan struct{})
	var load, restarts sync.WaitGroup
	for i := range hosts {
		load.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					current(i).request(t, "GET", "/stock/1", "k1")
				}
			}
		})
	}
	time.Sleep(3 * retryWindow)
	for range rounds {
		for i := range hosts {
			restarts.Go(func() {
				h := current(i)
				h.stop()
				if err := <-h.done; err != nil {
					t.Error(err)
				}
				h.done <- nil
				started := f.start(t, i)
				mu.Lock()
				defer mu.Unlock()
				f.hosts[i] = started
			})
			time.Sleep(gap)
		}
		restarts.Wait()
	}
	time.Sleep(retryWindow)
	close(stop)
	load.Wait()
	all, most := r.count()
	t.Logf("got %d repeats in all, at most %d in a window", all, most)
	if all == 0 || most > retryExtra {
		t.Errorf("got %d repeats in a window, want at most %d and some in all", most, retryExtra)
	}
}
