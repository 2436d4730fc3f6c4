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

// simulateSharedLimit sends a customer's requests to random hosts that share its
// limit by demand once a second. It returns how many were sent and admitted.
func simulateSharedLimit(t *testing.T, hosts int, rate, limit float64, seconds int, seed uint64) (sent, admitted int) {
	t.Helper()
	f, err := rule.Parse(fmt.Sprintf("limit customer=puebla rate=%g burst=%g # test: shared", limit, limit))
	if err != nil {
		t.Fatal(err)
	}
	r := rand.New(rand.NewPCG(seed, seed))
	broker := admit.NewBroker(3 * time.Second)
	var gates []*admit.Gate
	var sharers []*admit.Sharer
	for range hosts {
		g := admit.NewGate()
		g.Size("pool", 1000, start)
		g.Share("puebla", 1/float64(hosts))
		gates = append(gates, g)
		sharers = append(sharers, admit.NewSharer())
	}
	step := time.Duration(float64(time.Second) / rate)
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += step {
		now := start.Add(at)
		if at%time.Second < step {
			for h, g := range gates {
				demand, ended := sharers[h].Note(g.Demand())
				for name := range demand {
					g.Share(name, admit.Part(broker.Grant(name, fmt.Sprint(h), demand[name], now), hosts))
				}
				for _, name := range ended {
					g.Share(name, 1/float64(hosts))
				}
			}
		}
		sent++
		a := admit.Request{Customer: "puebla", Service: time.Millisecond, Deadline: now.Add(time.Second)}
		if leave, err := gates[r.IntN(hosts)].Enter(context.Background(), "pool", a, f, now); err == nil {
			admitted++
			leave(false)
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
		sent, in := simulateSharedLimit(t, 7, 20, 200, 25, seed)
		is.Equal(in, sent)
		const limit, seconds = 40.0, 25
		_, in = simulateSharedLimit(t, 7, 200, limit, seconds, seed)
		is.True(float64(in) <= limit*(seconds+1)*1.05) // the limit, with its burst
		is.True(float64(in) >= limit*seconds*0.85)
	}
}
