package lease_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushshed/lease"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		// A run without a seed of its own repeats the last one.
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

var opts = lease.Options{Term: 4 * time.Second, Margin: time.Second, Renew: time.Second}

// world is a log and the seats of a few hosts. Reads lag as they will, and
// appends land at once, late, or never.
type world struct {
	now   time.Time
	seats []*lease.Elector
	names []string
	next  []int
	log   []lease.Record
	late  []lease.Record
	ids   int
	// effective is the highest fencing number that an order was given under.
	effective int64
}

func newWorld(n int) *world {
	w := &world{now: time.Unix(1000, 0)}
	for i := range n {
		name := fmt.Sprintf("h%d", i)
		w.names = append(w.names, name)
		w.seats = append(w.seats, lease.NewElector(opts, name))
		w.next = append(w.next, 0)
	}
	return w
}

// The things that can happen to one seat, and to the world.
const (
	landNow = iota
	landLate
	land // lets the late appends land
	read
	readAll
	tick
	restart
)

// often is how often each kind happens beside the others.
var often = []int{landNow, landNow, landLate, land, read, readAll, readAll, tick, tick, tick, tick}

func (w *world) step(kind, i int) {
	switch kind {
	case landNow, landLate:
		w.ids++
		r, ok := w.seats[i].NextRecord(fmt.Sprint(w.ids), w.now)
		if ok && kind == landNow {
			w.log = append(w.log, r)
		}
		if ok && kind == landLate {
			w.late = append(w.late, r)
		}
	case land:
		w.log = append(w.log, w.late...)
		w.late = nil
	case read, readAll:
		for w.next[i] < len(w.log) {
			w.seats[i].Observe(int64(w.next[i]+1), w.log[w.next[i]], w.now)
			w.next[i]++
			if kind == read {
				break
			}
		}
	case tick:
		w.now = w.now.Add(time.Second)
	case restart:
		// A new incarnation under a new name, which knows nothing.
		w.ids++
		w.names[i] = fmt.Sprintf("h%d.%d", i, w.ids)
		w.seats[i] = lease.NewElector(opts, w.names[i])
		w.next[i] = 0
	}
}

// broken returns what is wrong now, or "". Each holder gives an order.
func (w *world) broken() string {
	holders := 0
	for _, s := range w.seats {
		fence, ok := s.Holds(w.now)
		if !ok {
			continue
		}
		holders++
		if fence < w.effective {
			return fmt.Sprintf("got an order under %d, want none below %d", fence, w.effective)
		}
		w.effective = fence
	}
	if holders > 1 {
		return fmt.Sprintf("got %d holders, want at most one", holders)
	}
	return ""
}

func TestAtMostOneHolder(t *testing.T) {
	t.Parallel()
	held := 0
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(3)
		for _, b := range rapid.SliceOfN(rapid.Byte(), 30, 200).Draw(rt, "steps") {
			kind := often[int(b/3)%len(often)]
			if b == 255 {
				kind = restart
			}
			w.step(kind, int(b)%3)
			if problem := w.broken(); problem != "" {
				rt.Fatal(problem)
			}
		}
		if w.effective > 0 {
			held++
		}
	})
	if held == 0 {
		t.Fatal("got no world in which somebody held the lease, want some")
	}
}

// letters are the steps of the short histories: a kind and a seat.
var letters = [][2]int{
	{landNow, 0}, {landNow, 1}, {landLate, 0}, {landLate, 1}, {readAll, 0}, {readAll, 1}, {land, 0}, {tick, 0},
}

// depth is the number of steps of a short history; each tick is two seconds.
const depth = 6

func TestAllShortHistories(t *testing.T) {
	t.Parallel()
	steps := make([]int, depth)
	n := 0
	for done := false; !done; n++ {
		w := newWorld(2)
		for _, b := range steps {
			w.step(letters[b][0], letters[b][1])
			if letters[b][0] == tick {
				w.step(tick, 0)
			}
			if problem := w.broken(); problem != "" {
				t.Fatalf("%s after %v", problem, steps)
			}
		}
		done = !advance(steps)
	}
	t.Logf("%d histories of %d steps", n, depth)
}

// advance counts up to the next sequence of steps.
func advance(steps []int) bool {
	for i := range steps {
		steps[i]++
		if steps[i] < len(letters) {
			return true
		}
		steps[i] = 0
	}
	return false
}

// A log that lost records which a host has not read tells it nothing of the
// lease, until a snapshot does.
func TestAHostThatMissedRecordsDoesNotClaim(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	fresh := lease.NewElector(opts, "fresh")
	fresh.MarkGap(50)
	if r, ok := fresh.NextRecord("1", now.Add(time.Hour)); ok {
		t.Fatalf("got %+v, want no record", r)
	}
	fresh.Observe(51, lease.Record{ID: "x", Action: lease.ActionRenew, Holder: "other", Grant: 7}, now)
	fresh.Restore(lease.State{Holder: "other", Grant: 7, Last: 40}, 49, now)
	if got, want := fresh.State(), (lease.State{Holder: "other", Grant: 7, Last: 51}); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	if r, ok := fresh.NextRecord("2", now.Add(opts.Term)); ok {
		t.Fatalf("got %+v within the term, want no record", r)
	}
	r, ok := fresh.NextRecord("3", now.Add(opts.Term+opts.Margin+time.Second))
	if !ok || r.After != 51 {
		t.Fatalf("got %+v, want a claim after 51", r)
	}
}
