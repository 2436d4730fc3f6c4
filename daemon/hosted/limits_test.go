package hosted_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// namedLimit is the rate, in requests per second, that a replica of the test takes.
	namedLimit = 2.0
	// limitSlack is the number of requests that may exceed the rate at any time.
	limitSlack = 5
	limitHosts = 4
)

// nameLimits makes replicas name a limit; zero ends that.
func nameLimits(replicas []*replicaStandIn, limit float64) {
	for _, r := range replicas {
		r.mu.Lock()
		r.limit = limit
		r.mu.Unlock()
	}
}

// arrivals returns the number of requests of any kind that a replica has received.
func (r *replicaStandIn) arrivalCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivals
}

// testLimit sends requests to all hosts for a while, and fails if a replica gets more than
// its limit once all hosts have passed on an answer that names it.
func testLimit(t *testing.T, method, path string, replicasOf func(f *fleet) []*replicaStandIn) {
	f := newFleet(t, limitHosts)
	replicas := replicasOf(f)
	nameLimits(replicas, namedLimit)
	for _, h := range f.hosts {
		await(t, "response 200", func() bool { return statusOf(h.request(t, method, path, "k1")) == 200 })
	}
	time.Sleep(time.Second)
	began := time.Now()
	before := map[*replicaStandIn]int{}
	for _, r := range replicas {
		before[r] = r.arrivalCount()
	}
	served := 0
	for n := 0; time.Since(began) < 4*time.Second; n++ {
		status := statusOf(f.hosts[n%limitHosts].request(t, method, path, "k1"))
		if status == 200 {
			served++
		}
		is.New(t).True(status == 200 || status == 503)
		time.Sleep(10 * time.Millisecond)
	}
	is.New(t).True(served > 0)
	for _, r := range replicas {
		got, most := r.arrivalCount()-before[r], namedLimit*time.Since(began).Seconds()*1.5+limitSlack
		if float64(got) > most {
			t.Errorf("got %d requests at a replica, want at most %.0f", got, most)
		}
	}
}

func TestLimitOfAPlainReplicaHoldsForAllHosts(t *testing.T) {
	t.Parallel()
	testLimit(t, "POST", "/stock/1", func(f *fleet) []*replicaStandIn { return f.plain })
}

func TestLimitOfAnEngineHoldsForAllHosts(t *testing.T) {
	t.Parallel()
	testLimit(t, "POST", "/draft/1", func(f *fleet) []*replicaStandIn { return f.engines })
}
