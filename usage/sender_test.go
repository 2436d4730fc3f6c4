package usage_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/usage"
)

// Reports must be sent as soon as others need them, and not more often.
func TestReportsAreSentWhenDue(t *testing.T) {
	t.Parallel()
	use := func(permille int) []usage.Use {
		return []usage.Use{{Engine: engineID(0), Cells: float64(permille) / 1000, Streams: 1}}
	}
	type step struct {
		at    int
		uses  []usage.Use
		peers int
		want  bool
	}
	for _, c := range []struct {
		name    string
		serving bool
		steps   []step
	}{
		{"alone", true, []step{{0, use(100), 0, false}, {5000, use(900), 0, false}}},
		{"first report", true, []step{{0, nil, 1, true}}},
		{"not serving, without streams", false, []step{{0, nil, 1, false}, {5000, nil, 1, false}}},
		{"not serving, streams begin and end", false, []step{{0, use(100), 1, true}, {300, nil, 1, true}, {1200, nil, 1, false}}},
		{"unchanged", true, []step{{0, use(100), 1, true}, {799, use(100), 1, false}, {800, use(100), 1, true}}},
		{"small change", true, []step{{0, use(100), 1, true}, {249, use(120), 1, false}, {250, use(120), 1, true}}},
		{"large stream", true, []step{{0, use(100), 1, true}, {19, use(121), 1, false}, {20, use(121), 1, true}}},
		{"large stream ends", true, []step{{0, use(121), 1, true}, {20, use(100), 1, false}, {250, use(100), 1, true}}},
		{"new peer", true, []step{{0, use(100), 1, true}, {20, use(100), 2, false}, {30, use(100), 2, true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := usage.NewSender(1, start)
			for _, step := range c.steps {
				if _, ok := s.Next(step.uses, c.serving, hostIDs(step.peers), start.Add(ms(step.at))); ok != step.want {
					t.Errorf("got %v at %d ms, want %v", ok, step.at, step.want)
				}
			}
		})
	}
}

// A change must reach the others although it is not part of a complete report.
func TestChangesAreSentOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := usage.NewSender(1, start)
	one := usage.Use{Engine: engineID(0), Cells: 0.1, Streams: 1}
	two := usage.Use{Engine: engineID(1), Cells: 0.2, Streams: 1}
	next := func(at int, all ...usage.Use) usage.Report {
		r, ok := s.Next(all, true, hostIDs(1), start.Add(ms(at)))
		is.True(ok)
		return r
	}
	r := next(0, one, two)
	is.True(r.Complete)
	is.Equal(len(r.Uses), 2)
	r = next(250, one)
	is.True(!r.Complete)
	is.Equal(r.Uses, []usage.Use{{Engine: two.Engine}})
	r = next(1050, one)
	is.Equal(len(r.Uses), 0)
	r = next(2050, one)
	is.True(r.Complete)
	is.Equal(r.Uses, []usage.Use{one})
}

// A host must tell the others at once what it found out, but not the same engine more than
// once in 300 ms, nor what no longer holds.
func TestFindingsAreLimited(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := usage.NewSender(1, start)
	find := func(at int, k usage.Kind) { s.Find(engineID(0), k, start.Add(ms(at+100)), start.Add(ms(at))) }
	next := func(at int) []usage.Finding {
		r, _ := s.Next(nil, true, hostIDs(1), start.Add(ms(at)))
		return r.Findings
	}
	is.Equal(len(next(0)), 0)
	find(20, usage.Down)
	is.Equal(next(20), []usage.Finding{{Engine: engineID(0), Kind: usage.Down, Left: ms(100)}})
	is.True(s.HasFound(engineID(0), usage.Down, start.Add(ms(30))))
	find(40, usage.Down)
	find(50, usage.Back)
	is.Equal(len(next(319)), 0)
	is.True(s.Wait(start.Add(ms(300))) <= ms(20))
	got := next(320)
	is.Equal(len(got), 1)
	is.Equal(got[0].Kind, usage.Back)
	find(330, usage.Full) // full for 100 ms, and not to be sent for 300 ms
	is.Equal(len(next(640)), 0)
}

// A host that waits for the next report must not do so in vain or poll.
func TestWaitEndsWhenAReportIsDue(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := usage.NewSender(1, start)
	now := start
	decisions, sent := 0, 0
	for now.Before(start.Add(20 * time.Second)) {
		if _, ok := s.Next(uses(33, int(now.Sub(start)/time.Second)), true, hostIDs(7), now); ok {
			sent++
		}
		decisions++
		now = now.Add(s.Wait(now))
	}
	is.True(sent >= 20)
	is.True(decisions <= 3*sent)
}
