package ratelimit_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/gossip"
	"bulrushshed/ratelimit"
)

// network connects the limiters of several hosts. A host that is cut off reaches none.
type network struct {
	mu       sync.Mutex
	limiters map[string]*ratelimit.Limiter
	// members has the hosts that all hosts take for members, and gone those that do not
	// answer.
	members []string
	gone    map[string]bool
	delay   time.Duration
	asked   int
}

// hosts is the view that one host has of the network.
type hosts struct {
	net  *network
	self string
}

func (h hosts) Responsible(replica string, n int) []ratelimit.Host {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	var all []ratelimit.Host
	for _, name := range gossip.Owners(replica, h.net.members, n) {
		all = append(all, ratelimit.Host{Name: name, Address: name, Self: name == h.self})
	}
	return all
}

func (h hosts) Ask(ctx context.Context, address string, q ratelimit.Question) (ratelimit.Permit, error) {
	h.net.mu.Lock()
	l, gone := h.net.limiters[address], h.net.gone[address] || h.net.gone[h.self]
	h.net.asked++
	h.net.mu.Unlock()
	if gone {
		<-ctx.Done()
		return ratelimit.Permit{}, ctx.Err()
	}
	time.Sleep(h.net.delay)
	return l.Answer(q, time.Now()), nil
}

func (h hosts) Size() int {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	return len(h.net.members)
}

func (n *network) setGone(host string, gone bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gone[host] = gone
}

func (n *network) remove(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = slices.DeleteFunc(slices.Clone(n.members), func(m string) bool { return m == host })
}

// newNetwork returns n hosts that all know the limit of one engine.
func newNetwork(n int, rate float64) *network {
	net := &network{limiters: map[string]*ratelimit.Limiter{}, gone: map[string]bool{}, delay: time.Millisecond}
	for i := range n {
		net.members = append(net.members, fmt.Sprint("entry-", i))
	}
	for _, name := range net.members {
		limits := newLimits(nil)
		limits.Record(engine, named(rate), time.Now(), time.Now())
		net.limiters[name] = ratelimit.NewLimiter(limits, hosts{net, name}, slog.New(slog.DiscardHandler))
	}
	return net
}

// load sends requests to the engine from all hosts at random times, perSecond in total.
// It returns when they were sent.
func (n *network) load(perSecond float64, lasts time.Duration, urgentShare float64) []time.Time {
	var mu sync.Mutex
	var sent []time.Time
	var requests sync.WaitGroup
	names := slices.Clone(n.members)
	r := rand.New(rand.NewPCG(1, 2))
	for began := time.Now(); time.Since(began) < lasts; {
		time.Sleep(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		name, urgent := names[r.IntN(len(names))], r.Float64() < urgentShare
		requests.Go(func() {
			if n.limiters[name].Acquire(context.Background(), engine, ratelimit.Need{MaxWait: 100 * time.Millisecond, Urgent: urgent}).Granted {
				mu.Lock()
				sent = append(sent, time.Now())
				mu.Unlock()
			}
		})
	}
	requests.Wait()
	return sent
}

// The limits apply for 30 s, so that the tests last less.
const loadTime = 9 * time.Second

func TestLimitHoldsForAllHostsTogether(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		hosts int
		rate  float64
	}{{1, 3.7}, {7, 3.7}, {81, 1.2}, {81, 20}, {400, 0.5}, {400, 6}} {
		t.Run(fmt.Sprintf("%d hosts, %v", c.hosts, c.rate), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sent := newNetwork(c.hosts, c.rate).load(3*c.rate, loadTime, 0.1)
				is.True(mostIn(sent) <= allowed(c.rate))
				is.True(float64(len(sent)) >= 0.8*c.rate*loadTime.Seconds()) // it is used up, too
			})
		})
	}
}

// The limit holds, and a good part of it is used, while hosts do not answer, are removed
// from the members and answer again.
func TestLimitHoldsWhileHostsFail(t *testing.T) {
	t.Parallel()
	const rate = 8
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(9, rate)
		owners := gossip.Owners(engine, n.members, 3)
		stop := make(chan struct{})
		go func() {
			defer close(stop)
			time.Sleep(2 * time.Second)
			n.setGone(owners[0], true) // it freezes, and is a member for a while
			time.Sleep(2 * time.Second)
			n.remove(owners[0])
			time.Sleep(time.Second)
			n.setGone(owners[1], true)
			time.Sleep(time.Second)
			n.setGone(owners[1], false)
		}()
		sent := n.load(3*rate, loadTime, 0.1)
		<-stop
		is.True(mostIn(sent) <= allowed(rate))
		is.True(float64(len(sent)) >= 0.4*rate*loadTime.Seconds())
	})
}

// A host that reaches no other one, and is not itself among those to ask, sends nothing to
// the replica, and does not try for each request.
func TestHostThatReachesNoneSendsNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(9, 5)
		owners := gossip.Owners(engine, n.members, 9)
		cut := owners[8]
		n.setGone(cut, true)
		for range 100 {
			p := n.limiters[cut].Acquire(t.Context(), engine, ratelimit.Need{})
			is.True(!p.Granted)
			is.True(p.Wait() > 0)
			time.Sleep(10 * time.Millisecond)
		}
		is.True(n.asked <= 6)
	})
}

func TestReplicaWithoutLimitNeedsNoPermit(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(3, 1)
		for range 100 {
			is.True(n.limiters["entry-0"].Acquire(t.Context(), "i-2/1000", ratelimit.Need{}).Granted)
		}
		is.Equal(n.asked, 0)
		is.Equal(len(n.limiters["entry-0"].Blocked(time.Now())), 0)
	})
}

func TestPermitIsNotGrantedAfterCancel(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newNetwork(1, 1).limiters["entry-0"]
		is.True(l.Acquire(t.Context(), engine, ratelimit.Need{}).Granted)
		ctx, cancel := context.WithTimeoutCause(t.Context(), 100*time.Millisecond, errors.New("caller left"))
		defer cancel()
		is.True(!l.Acquire(ctx, engine, ratelimit.Need{MaxWait: 5 * time.Second}).Granted)
	})
}

// Refused callers are told different times, at which the replicas can take them.
func TestRefusedCallersReturnAtDifferentTimes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const rate = 10
		l := newNetwork(2, rate).limiters["entry-0"]
		const soonest = 50 * time.Millisecond
		last := time.Duration(0)
		for range 20 {
			after := l.ReturnAfter("s", []string{engine}, soonest, time.Now())
			is.True(after-last >= 2*time.Second/rate) // each of two hosts tells half of them
			is.True(after >= soonest)
			last = after
		}
		later := map[time.Duration]bool{}
		for range 100 {
			after := l.ReturnAfter("s", []string{engine}, soonest, time.Now())
			is.True(after <= 5*time.Second)
			later[after.Truncate(time.Millisecond)] = true
		}
		is.True(len(later) > 80)
	})
}
