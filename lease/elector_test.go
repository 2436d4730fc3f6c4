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
		// Use a fixed default seed, so that runs are reproducible.
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

var opts = lease.Options{Term: 4 * time.Second, Margin: time.Second, Renew: time.Second}

// simulation is a log and the electors of a few hosts. Each elector reads with
// any lag, and an append reaches the log immediately, late or never.
type simulation struct {
	now      time.Time
	electors []*lease.Elector
	names    []string
	nextRead []int
	log      []lease.Record
	delayed  []lease.Record
	ids      int
	// highestFence is the highest fencing token of any order.
	highestFence int64
}

func newSimulation(n int) *simulation {
	s := &simulation{now: time.Unix(1000, 0)}
	for i := range n {
		name := fmt.Sprintf("h%d", i)
		s.names = append(s.names, name)
		s.electors = append(s.electors, lease.NewElector(opts, name))
		s.nextRead = append(s.nextRead, 0)
	}
	return s
}

// The kinds of simulation steps.
const (
	appendNow = iota
	appendDelayed
	deliverDelayed // appends all delayed records to the log
	readOne
	readAll
	tick
	restart
)

// weightedSteps lists each kind as often as its relative frequency.
var weightedSteps = []int{appendNow, appendNow, appendDelayed, deliverDelayed, readOne, readAll, readAll, tick, tick, tick, tick}

func (s *simulation) step(kind, i int) {
	switch kind {
	case appendNow, appendDelayed:
		s.ids++
		r, ok := s.electors[i].NextRecord(fmt.Sprint(s.ids), s.now)
		if ok && kind == appendNow {
			s.log = append(s.log, r)
		}
		if ok && kind == appendDelayed {
			s.delayed = append(s.delayed, r)
		}
	case deliverDelayed:
		s.log = append(s.log, s.delayed...)
		s.delayed = nil
	case readOne, readAll:
		for s.nextRead[i] < len(s.log) {
			s.electors[i].Observe(int64(s.nextRead[i]+1), s.log[s.nextRead[i]], s.now)
			s.nextRead[i]++
			if kind == readOne {
				break
			}
		}
	case tick:
		s.now = s.now.Add(time.Second)
	case restart:
		// The new incarnation has a new name and no state.
		s.ids++
		s.names[i] = fmt.Sprintf("h%d.%d", i, s.ids)
		s.electors[i] = lease.NewElector(opts, s.names[i])
		s.nextRead[i] = 0
	}
}

// violation describes the invariant that is violated now, or returns "". Each
// holder gives an order.
func (s *simulation) violation() string {
	holders := 0
	for _, elector := range s.electors {
		fence, ok := elector.Holds(s.now)
		if !ok {
			continue
		}
		holders++
		if fence < s.highestFence {
			return fmt.Sprintf("got an order with fencing token %d, want at least %d", fence, s.highestFence)
		}
		s.highestFence = fence
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
		s := newSimulation(3)
		for _, b := range rapid.SliceOfN(rapid.Byte(), 30, 200).Draw(rt, "steps") {
			kind := weightedSteps[int(b/3)%len(weightedSteps)]
			if b == 255 {
				kind = restart
			}
			s.step(kind, int(b)%3)
			if problem := s.violation(); problem != "" {
				rt.Fatal(problem)
			}
		}
		if s.highestFence > 0 {
			held++
		}
	})
	if held == 0 {
		t.Fatal("got no simulation in which a host held the lease, want some")
	}
}

// historySteps are the steps that short histories consist of: a kind and the
// index of an elector.
var historySteps = [][2]int{
	{appendNow, 0}, {appendNow, 1}, {appendDelayed, 0}, {appendDelayed, 1}, {readAll, 0}, {readAll, 1}, {deliverDelayed, 0}, {tick, 0},
}

// historyLength is the number of steps of a short history. Each tick advances
// the clock by two seconds.
const historyLength = 6

func TestAllShortHistories(t *testing.T) {
	t.Parallel()
	steps := make([]int, historyLength)
	n := 0
	for done := false; !done; n++ {
		s := newSimulation(2)
		for _, b := range steps {
			s.step(historySteps[b][0], historySteps[b][1])
			if historySteps[b][0] == tick {
				s.step(tick, 0)
			}
			if problem := s.violation(); problem != "" {
				t.Fatalf("%s after %v", problem, steps)
			}
		}
		done = !advance(steps)
	}
	t.Logf("%d histories of %d steps", n, historyLength)
}

// advance sets steps to the next sequence in counting order, and returns false
// after the last one.
func advance(steps []int) bool {
	for i := range steps {
		steps[i]++
		if steps[i] < len(historySteps) {
			return true
		}
		steps[i] = 0
	}
	return false
}

// A host that missed records does not claim the lease, because it cannot know the
// state. After it has restored a snapshot, it claims once the term and the margin
// are over.
func TestNoClaimAfterMissedRecords(t *testing.T) {
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
