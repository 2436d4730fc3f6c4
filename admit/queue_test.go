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
		// A run without a seed of its own repeats the last one.
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// sender is one customer of a simulated load.
type sender struct {
	name string
	// every is the time between two requests.
	every time.Duration
	// whole counts the requests that ended within their deadline.
	whole, sent int
}

// running is a request that has its place until end.
type running struct {
	end time.Time
	by  *sender
	due time.Time
}

const (
	service  = 100 * time.Millisecond
	patience = time.Second
	places   = 10
	capacity = 100 // requests a second
)

// simulate sends for a time of the queue's own, step by step. With naive set,
// requests wait in one line without bound, and are run however late.
func simulate(senders []*sender, d time.Duration, naive bool) {
	q := admit.NewQueue(places)
	type waiting struct {
		t   *admit.Ticket
		by  *sender
		due time.Time
	}
	var line []waiting
	var now []running
	for at := time.Duration(0); at < d; at += time.Millisecond {
		clock := start.Add(at)
		var on []running
		for _, r := range now {
			if clock.Before(r.end) {
				on = append(on, r)
				continue
			}
			if !r.end.After(r.due) {
				r.by.whole++
			}
			q.Leave(clock)
		}
		now = on
		for _, s := range senders {
			if at%s.every != 0 {
				continue
			}
			s.sent++
			due := clock.Add(patience)
			a := admit.Request{Customer: s.name, Service: service, Deadline: due}
			if naive {
				a.Customer, a.Deadline = "", clock.Add(time.Hour)
			}
			if t, ok := q.Enter(a, clock); ok {
				line = append(line, waiting{t: t, by: s, due: due})
			}
		}
		var rest []waiting
		for _, w := range line {
			select {
			case <-w.t.Ready():
				if w.t.Admitted() {
					now = append(now, running{end: clock.Add(service), by: w.by, due: w.due})
				}
			default:
				rest = append(rest, w)
			}
		}
		line = rest
	}
}

// Under twice the load that can be served, as much is served in time as under
// a load that just can be; in one line without bound, next to nothing is.
func TestGoodputUnderOverload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	whole := func(rate int, naive bool) int {
		s := &sender{name: "puebla", every: time.Second / time.Duration(rate)}
		simulate([]*sender{s}, 10*time.Second, naive)
		return s.whole
	}
	once, twice, twin := whole(capacity, false), whole(2*capacity, false), whole(2*capacity, true)
	t.Logf("served in time: %d at the capacity, %d at twice that, %d in one line without bound", once, twice, twin)
	is.True(float64(twice) >= 0.95*float64(once))
	is.True(twin < once/2)
}

// One customer that sends ten times its share takes nothing from nine others.
func TestTheSmallestCustomerHasItsShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	share := func(naive bool) float64 {
		var all []*sender
		for n := range 9 {
			all = append(all, &sender{name: fmt.Sprintf("small-%d", n), every: 100 * time.Millisecond})
		}
		all = append(all, &sender{name: "large", every: 10 * time.Millisecond})
		simulate(all, 10*time.Second, naive)
		least := 1.0
		for _, s := range all[:9] {
			least = min(least, float64(s.whole)/float64(s.sent))
		}
		return least
	}
	got, twin := share(false), share(true)
	t.Logf("the smallest customer has %.2f of its share, %.2f in one line", got, twin)
	is.True(got >= 0.9)
	is.True(twin < 0.9)
}

func TestAHigherPriorityGoesFirst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	q := admit.NewQueue(1)
	ask := func(customer string, priority int) *admit.Ticket {
		t, ok := q.Enter(admit.Request{Customer: customer, Priority: priority, Service: service, Deadline: start.Add(time.Hour)}, start)
		is.True(ok)
		return t
	}
	ask("a", 1)
	low, high := ask("b", 0), ask("c", 2)
	q.Leave(start)
	is.True(high.Admitted())
	is.True(!low.Admitted())
}

// Whatever comes, leaves and gives up, no more requests have places than there
// are, and none waits while a place is free.
func TestPlacesAreKept(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "places")
		q := admit.NewQueue(n)
		var inside, outside []*admit.Ticket
		now := start
		for _, b := range rapid.SliceOf(rapid.Byte()).Draw(t, "steps") {
			now = now.Add(time.Duration(b%7) * 50 * time.Millisecond)
			switch {
			case b%3 == 0:
				a := admit.Request{
					Customer: fmt.Sprint(b % 5), Priority: int(b % 2), Service: service, Deadline: now.Add(time.Duration(b) * 20 * time.Millisecond),
				}
				if t, ok := q.Enter(a, now); ok {
					outside = append(outside, t)
				}
			case b%3 == 1 && len(inside) > 0:
				inside = inside[1:]
				q.Leave(now)
			case b%3 == 2 && len(outside) > 0:
				q.Abandon(outside[0], now)
				outside = outside[1:]
			}
			var wait []*admit.Ticket
			for _, t := range outside {
				select {
				case <-t.Ready():
					if t.Admitted() {
						inside = append(inside, t)
					}
				default:
					wait = append(wait, t)
				}
			}
			outside = wait
			if len(inside) > n || len(outside) != q.Waiting() || len(outside) > 0 && len(inside) < n {
				t.Fatalf("got %d inside, %d waiting, %d in the queue, want up to %d inside", len(inside), len(outside), q.Waiting(), n)
			}
		}
	})
}

// Parts of a limit that count at the same time add up to at most the whole,
// and follow the demand.
func TestPartsOfALimit(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		b := admit.NewBroker(3 * time.Second)
		until := map[string]time.Time{}
		share := map[string]float64{}
		now := start
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 399)).Draw(t, "steps") {
			now = now.Add(time.Duration(step%10) * 200 * time.Millisecond)
			host := fmt.Sprint(step % 4)
			share[host] = b.Grant("puebla", host, float64(step/10), now)
			until[host] = now.Add(3 * time.Second)
			sum := 0.0
			for h, s := range share {
				if !now.After(until[h]) {
					sum += s
				}
			}
			if sum > 1.0001 {
				t.Fatalf("got parts of %f in all, want at most 1", sum)
			}
		}
		for range 4 {
			for h := range 2 {
				share[fmt.Sprint(h)] = b.Grant("other", fmt.Sprint(h), float64(1+3*h), now)
			}
		}
		if share["1"] < 0.79 || share["0"] < 0.19 {
			t.Fatalf("got parts %f and %f of a demand of 1 and 4, want one and four fifths", share["0"], share["1"])
		}
	})
}

// A queue learns how long requests take in truth, and refuses those that can't
// be served in time at that pace.
func TestAQueueLearnsThePace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	q := admit.NewQueue(1)
	now := start
	ask := admit.Request{Customer: "a", Service: service}
	fits := func(deadline time.Duration) bool {
		ask.Deadline = now.Add(deadline)
		ticket, ok := q.Enter(ask, now)
		if ok {
			q.Abandon(ticket, now)
		}
		return ok
	}
	is.True(fits(2 * service))
	for range 100 {
		ask.Deadline = now.Add(time.Hour)
		ticket, ok := q.Enter(ask, now)
		is.True(ok)
		now = now.Add(3 * service)
		q.Served(ticket, now)
		q.Leave(now)
	}
	is.True(!fits(2 * service))
	is.True(fits(4 * service))
}
