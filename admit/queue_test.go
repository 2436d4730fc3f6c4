package admit_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bulrushshed/admit"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		// A fixed seed makes runs without -rapid.seed reproducible.
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// sender is one customer of a simulated load.
type sender struct {
	name string
	// interval is the time between two requests.
	interval time.Duration
	// inTime counts the requests that completed within their deadline.
	inTime, sent int
}

// running is a request that holds its slot until end.
type running struct {
	end      time.Time
	sender   *sender
	deadline time.Time
}

const (
	serviceTime = 100 * time.Millisecond
	timeout     = time.Second
	slots       = 10
	capacity    = 100 // requests per second
)

// simulate sends requests for a simulated time in steps of 1 ms. With fifo set,
// requests wait in one unbounded FIFO queue and run however late they are.
func simulate(senders []*sender, d time.Duration, fifo bool) {
	q := admit.NewQueue(slots)
	type waiting struct {
		t        *admit.Ticket
		sender   *sender
		deadline time.Time
	}
	var queued []waiting
	var active []running
	for at := time.Duration(0); at < d; at += time.Millisecond {
		clock := start.Add(at)
		var stillRunning []running
		for _, r := range active {
			if clock.Before(r.end) {
				stillRunning = append(stillRunning, r)
				continue
			}
			if !r.end.After(r.deadline) {
				r.sender.inTime++
			}
			q.Release(clock)
		}
		active = stillRunning
		for _, s := range senders {
			if at%s.interval != 0 {
				continue
			}
			s.sent++
			due := clock.Add(timeout)
			request := admit.Request{Customer: s.name, ServiceTime: serviceTime, Deadline: due}
			if fifo {
				request.Customer, request.Deadline = "", clock.Add(time.Hour)
			}
			if t, ok := q.Enqueue(request, clock); ok {
				queued = append(queued, waiting{t: t, sender: s, deadline: due})
			}
		}
		var stillQueued []waiting
		for _, w := range queued {
			select {
			case <-w.t.Ready():
				if w.t.Admitted() {
					active = append(active, running{end: clock.Add(serviceTime), sender: w.sender, deadline: w.deadline})
				}
			default:
				stillQueued = append(stillQueued, w)
			}
		}
		queued = stillQueued
	}
}

// At twice the capacity, at least 95% as many requests complete in time as at the
// capacity. In an unbounded FIFO queue fewer than half as many do.
func TestGoodputUnderOverload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	goodput := func(rate int, fifo bool) int {
		s := &sender{name: "puebla", interval: time.Second / time.Duration(rate)}
		simulate([]*sender{s}, 10*time.Second, fifo)
		return s.inTime
	}
	atCapacity, overloaded, overloadedFIFO := goodput(capacity, false), goodput(2*capacity, false), goodput(2*capacity, true)
	t.Logf("completed in time: %d at the capacity, %d at twice the capacity, %d in an unbounded FIFO queue", atCapacity, overloaded, overloadedFIFO)
	is.True(float64(overloaded) >= 0.95*float64(atCapacity))
	is.True(overloadedFIFO < atCapacity/2)
}

// Beside a customer that sends ten times its share, nine others still have at
// least 90% of their requests completed in time. In a FIFO queue the worst-served
// of them has fewer.
func TestFairShareBesideLargeCustomer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	share := func(fifo bool) float64 {
		var all []*sender
		for n := range 9 {
			all = append(all, &sender{name: fmt.Sprintf("small-%d", n), interval: 100 * time.Millisecond})
		}
		all = append(all, &sender{name: "large", interval: 10 * time.Millisecond})
		simulate(all, 10*time.Second, fifo)
		least := 1.0
		for _, s := range all[:9] {
			least = min(least, float64(s.inTime)/float64(s.sent))
		}
		return least
	}
	got, gotFIFO := share(false), share(true)
	t.Logf("worst small customer: %.2f of its requests completed in time, %.2f in a FIFO queue", got, gotFIFO)
	is.True(got >= 0.9)
	is.True(gotFIFO < 0.9)
}

func TestHigherPriorityIsAdmittedFirst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	q := admit.NewQueue(1)
	enqueue := func(customer string, priority int) *admit.Ticket {
		t, ok := q.Enqueue(admit.Request{Customer: customer, Priority: priority, ServiceTime: serviceTime, Deadline: start.Add(time.Hour)}, start)
		is.True(ok)
		return t
	}
	enqueue("a", 1)
	low, high := enqueue("b", 0), enqueue("c", 2)
	q.Release(start)
	is.True(high.Admitted())
	is.True(!low.Admitted())
}

// Over any sequence of arrivals, releases and cancellations, no more requests
// hold slots than there are, and none waits while a slot is free.
func TestSlotLimitAndWorkConservation(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "slots")
		q := admit.NewQueue(n)
		var holders, waiters []*admit.Ticket
		now := start
		for _, b := range rapid.SliceOf(rapid.Byte()).Draw(t, "steps") {
			now = now.Add(time.Duration(b%7) * 50 * time.Millisecond)
			switch {
			case b%3 == 0:
				request := admit.Request{
					Customer: fmt.Sprint(b % 5), Priority: int(b % 2), ServiceTime: serviceTime, Deadline: now.Add(time.Duration(b) * 20 * time.Millisecond),
				}
				if t, ok := q.Enqueue(request, now); ok {
					waiters = append(waiters, t)
				}
			case b%3 == 1 && len(holders) > 0:
				holders = holders[1:]
				q.Release(now)
			case b%3 == 2 && len(waiters) > 0:
				q.Cancel(waiters[0], now)
				waiters = waiters[1:]
			}
			var stillWaiting []*admit.Ticket
			for _, t := range waiters {
				select {
				case <-t.Ready():
					if t.Admitted() {
						holders = append(holders, t)
					}
				default:
					stillWaiting = append(stillWaiting, t)
				}
			}
			waiters = stillWaiting
			if len(holders) > n || len(waiters) != q.Waiting() || len(waiters) > 0 && len(holders) < n {
				t.Fatalf("got %d admitted, %d waiting, %d in the queue, want up to %d admitted", len(holders), len(waiters), q.Waiting(), n)
			}
		}
	})
}

// The unexpired shares of a limit add up to at most 1, and follow the demand.
func TestLimitShares(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		allocator := admit.NewAllocator(3 * time.Second)
		expires := map[string]time.Time{}
		share := map[string]float64{}
		now := start
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 399)).Draw(t, "steps") {
			now = now.Add(time.Duration(step%10) * 200 * time.Millisecond)
			host := fmt.Sprint(step % 4)
			share[host] = allocator.Grant("puebla", host, float64(step/10), now)
			expires[host] = now.Add(3 * time.Second)
			sum := 0.0
			for h, s := range share {
				if !now.After(expires[h]) {
					sum += s
				}
			}
			if sum > 1.0001 {
				t.Fatalf("got shares that add up to %f, want at most 1", sum)
			}
		}
		for range 4 {
			for h := range 2 {
				share[fmt.Sprint(h)] = allocator.Grant("other", fmt.Sprint(h), float64(1+3*h), now)
			}
		}
		if share["1"] < 0.79 || share["0"] < 0.19 {
			t.Fatalf("got shares %f and %f for a demand of 1 and 4, want one and four fifths", share["0"], share["1"])
		}
	})
}

// The queue adapts to requests that take three times as long as expected, and
// rejects those that can't meet their deadline at that rate.
func TestDurationEstimateAdaptsToLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	q := admit.NewQueue(1)
	now := start
	request := admit.Request{Customer: "a", ServiceTime: serviceTime}
	fits := func(deadline time.Duration) bool {
		request.Deadline = now.Add(deadline)
		ticket, ok := q.Enqueue(request, now)
		if ok {
			q.Cancel(ticket, now)
		}
		return ok
	}
	is.True(fits(2 * serviceTime))
	for range 100 {
		request.Deadline = now.Add(time.Hour)
		ticket, ok := q.Enqueue(request, now)
		is.True(ok)
		now = now.Add(3 * serviceTime)
		q.RecordDuration(ticket, now)
		q.Release(now)
	}
	is.True(!fits(2 * serviceTime))
	is.True(fits(4 * serviceTime))
}
