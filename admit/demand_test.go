package admit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/admit"
	"bulrushshed/rule"
)

// simulateSharedLimit sends a customer's requests to random hosts. Once a second
// its limit is divided among them by demand. It returns how many requests were
// sent and admitted.
func simulateSharedLimit(t *testing.T, hosts int, rate, limit float64, seconds int, seed uint64) (sent, admitted int) {
	t.Helper()
	f, err := rule.Parse(fmt.Sprintf("limit customer=puebla rate=%g burst=%g # test: shared", limit, limit))
	if err != nil {
		t.Fatal(err)
	}
	r := rand.New(rand.NewPCG(seed, seed))
	allocator := admit.NewAllocator(3 * time.Second)
	var gates []*admit.Gate
	var estimators []*admit.DemandEstimator
	for range hosts {
		g := admit.NewGate()
		g.SetSlots("pool", 1000, start)
		g.SetShare("puebla", 1/float64(hosts))
		gates = append(gates, g)
		estimators = append(estimators, admit.NewDemandEstimator())
	}
	step := time.Duration(float64(time.Second) / rate)
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += step {
		now := start.Add(at)
		if at%time.Second < step {
			for h, g := range gates {
				demand, ended := estimators[h].Update(g.TakeDemand())
				for name := range demand {
					g.SetShare(name, admit.EffectiveShare(allocator.Grant(name, fmt.Sprint(h), demand[name], now), hosts))
				}
				for _, name := range ended {
					g.SetShare(name, 1/float64(hosts))
				}
			}
		}
		sent++
		request := admit.Request{Customer: "puebla", ServiceTime: time.Millisecond, Deadline: now.Add(time.Second)}
		if release, err := gates[r.IntN(hosts)].Acquire(context.Background(), "pool", request, f, now); err == nil {
			admitted++
			release(false)
		}
	}
	return sent, admitted
}

// A customer far below its limit has no request rejected, however few requests
// each host sees. One far above its limit gets the limit and no more.
func TestLimitSharedByManyHosts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		is := is.New(t)
		sent, admitted := simulateSharedLimit(t, 7, 20, 200, 25, seed)
		is.Equal(admitted, sent)
		const limit, seconds = 40.0, 25
		_, admitted = simulateSharedLimit(t, 7, 200, limit, seconds, seed)
		is.True(float64(admitted) <= limit*(seconds+1)*1.05) // the limit, with its burst
		is.True(float64(admitted) >= limit*seconds*0.85)
	}
}
