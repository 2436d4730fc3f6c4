package usage_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bulrushshed/usage"
)

// merged is a report and when it is received, in ms.
type merged struct {
	at int
	usage.Report
}

// What other hosts use must be counted once, as of the newest report, and less with its age.
func TestLoadIsThatOfTheLatestReports(t *testing.T) {
	t.Parallel()
	partial := func(r usage.Report) usage.Report { r.Complete = false; return r }
	last := func(r usage.Report) usage.Report { r.Last = true; return r }
	empty := func(r usage.Report) usage.Report { r.Uses = nil; return r }
	a1, a2 := complete(1, 10, 1, 0.2), complete(1, 10, 2, 0.3)
	b1 := complete(2, 10, 1, 0.4)
	for _, c := range []struct {
		name    string
		serving []usage.HostID
		reports []merged
		at      int
		known   bool
		hosts   int
		want    float64
	}{
		{"no report", hostIDs(3), nil, 0, false, 3, 0},
		{"one host", nil, []merged{{0, a1}}, 0, true, 1, 0.2},
		{"two hosts", nil, []merged{{0, a1}, {0, b1}}, 0, true, 2, 0.6},
		{"full weight up to 1 s", nil, []merged{{0, a1}}, 1000, true, 1, 0.2},
		{"half weight after 1 s", nil, []merged{{0, a1}}, 1001, true, 1, 0.1},
		{"half weight up to 3 s", nil, []merged{{0, a1}}, 3000, true, 1, 0.1},
		{"none after 3 s", nil, []merged{{0, a1}}, 3001, false, 0, 0},
		{"dead host beside a live one", []usage.HostID{1, 2}, []merged{{0, a1}, {3000, b1}}, 3001, true, 1, 0.4},
		{"newer report", nil, []merged{{0, a1}, {0, a2}}, 0, true, 1, 0.3},
		{"reordered", nil, []merged{{0, a2}, {0, a1}}, 0, true, 1, 0.3},
		{"duplicated", nil, []merged{{0, a1}, {0, a1}, {900, a1}}, 1001, true, 1, 0.1},
		{"late duplicate of a lost host", nil, []merged{{0, a1}, {3500, a1}}, 3600, false, 0, 0},
		{"change", nil, []merged{{0, a1}, {0, partial(a2)}}, 0, true, 1, 0.3},
		{"change before any complete report", nil, []merged{{0, partial(a2)}}, 0, false, 0, 0},
		{"change without uses renews", nil, []merged{{0, a1}, {900, partial(empty(a2))}}, 1800, true, 1, 0.2},
		{"complete report without uses", nil, []merged{{0, a1}, {0, empty(a2)}}, 0, true, 1, 0},
		{"last report", nil, []merged{{0, a1}, {0, last(empty(a2))}}, 0, false, 0, 0},
		{"restart", nil, []merged{{0, a1}, {0, complete(1, 20, 1, 0.5)}}, 0, true, 1, 0.5},
		{"late report of the incarnation before", nil, []merged{{0, complete(1, 20, 1, 0.5)}, {100, a2}}, 100, true, 1, 0.5},
		{"restart with an earlier clock", nil, []merged{{0, complete(1, 20, 1, 0.5)}, {3500, a2}}, 3500, true, 1, 0.3},
		{"serving host without report counts as the mean", []usage.HostID{1, 2, 3}, []merged{{0, a1}, {0, b1}}, 0, true, 3, 0.9},
		{"silent serving host does not count again", []usage.HostID{1, 2}, []merged{{0, a1}, {0, b1}, {3000, a2}}, 3100, true, 1, 0.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			table := usage.NewTable()
			table.SetServing(c.serving)
			for _, m := range c.reports {
				table.Merge(m.Report, start.Add(ms(m.at)))
				table.Load(start.Add(ms(m.at))) // a sum that is kept must not be used for too long
			}
			l := table.Load(start.Add(ms(c.at)))
			is.Equal(l.Known(), c.known)
			is.Equal(l.Hosts(), c.hosts)
			if got := l.Cells(engineID(0)); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// In a partition in halves, hosts must count the hosts that they reach, and all of them
// within a report after its end.
func TestPartitionInHalves(t *testing.T) {
	t.Parallel()
	const hosts, reach = 8, 4
	tables, senders := map[usage.HostID]*usage.Table{}, map[usage.HostID]*usage.Sender{}
	for id := usage.HostID(1); id <= hosts; id++ {
		tables[id], senders[id] = usage.NewTable(), usage.NewSender(id, start)
	}
	now := start
	run := func(d time.Duration, reached func(a, b usage.HostID) bool) {
		for end := now.Add(d); now.Before(end); now = now.Add(ms(10)) {
			for from, s := range senders {
				var peers []usage.HostID
				for to := usage.HostID(1); to <= hosts; to++ {
					if to != from {
						peers = append(peers, to)
					}
				}
				r, ok := s.Next([]usage.Use{{Engine: engineID(0), Cells: 0.1}}, true, peers, now)
				for _, to := range peers {
					if ok && reached(from, to) {
						tables[to].Merge(r, now)
					}
				}
			}
		}
	}
	check := func(want float64) {
		t.Helper()
		for id, table := range tables {
			if got := table.Load(now).Cells(engineID(0)); math.Abs(got-want) > 1e-9 {
				t.Errorf("got %v at host %d, want %v", got, id, want)
			}
		}
	}
	all := func(_, _ usage.HostID) bool { return true }
	run(time.Second, all)
	check((hosts - 1) * 0.1)
	run(3500*time.Millisecond, func(a, b usage.HostID) bool { return (a <= reach) == (b <= reach) })
	check((reach - 1) * 0.1)
	run(time.Second, all)
	check((hosts - 1) * 0.1)
	run(3500*time.Millisecond, func(_, _ usage.HostID) bool { return false })
	for _, table := range tables {
		is.New(t).True(!table.Load(now).Known())
	}
}

// reportingHost is a host whose reports a property test delivers as it likes.
type reportingHost struct {
	sender *usage.Sender
	uses   []usage.Use
	// peak is the most that the host reported of each engine.
	peak [propertyEngines]float64
}

const propertyHosts, propertyEngines = 4, 3

// send changes the uses of a host, which may restart before, and returns its report.
func (h *reportingHost) send(t *rapid.T, id usage.HostID, now time.Time) (r usage.Report, ok bool) {
	if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
		h.sender = usage.NewSender(id, now)
	}
	h.uses = nil
	for e := range propertyEngines {
		h.uses = append(h.uses, usage.Use{Engine: engineID(e), Cells: float64(rapid.IntRange(0, 400).Draw(t, "cells")) / 1000})
	}
	if r, ok = h.sender.Next(h.uses, true, hostIDs(1), now); ok {
		for e, u := range h.uses {
			h.peak[e] = max(h.peak[e], u.Cells)
		}
	}
	return r, ok
}

// checkLoad fails if the table has more of an engine than its hosts ever reported of it.
func checkLoad(t *rapid.T, table *usage.Table, hosts []*reportingHost, now time.Time) {
	l := table.Load(now)
	for e := range propertyEngines {
		bound := 0.0
		for _, h := range hosts {
			bound += h.peak[e]
		}
		if got := l.Cells(engineID(e)); got > bound+1e-9 {
			t.Fatalf("got %v of engine %d, want at most %v", got, e, bound)
		}
	}
}

// However reports are lost, delayed, reordered and duplicated, and hosts restart, the sum
// has at most one report of each host. The next complete reports make up for all losses.
func TestNoHostCountsTwice(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		table, now := usage.NewTable(), start
		var hosts []*reportingHost
		for i := range propertyHosts {
			hosts = append(hosts, &reportingHost{sender: usage.NewSender(usage.HostID(i+1), start)})
		}
		var sent []usage.Report
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(ms(rapid.IntRange(1, 1500).Draw(t, "pause")))
			i := rapid.IntRange(0, propertyHosts-1).Draw(t, "host")
			if r, ok := hosts[i].send(t, usage.HostID(i+1), now); ok {
				sent = append(sent, r)
			}
			for range rapid.IntRange(0, 2).Draw(t, "deliveries") {
				if len(sent) > 0 {
					table.Merge(rapid.SampledFrom(sent).Draw(t, "report"), now)
				}
			}
			checkLoad(t, table, hosts, now)
		}
		now = now.Add(2100 * time.Millisecond)
		want := 0.0
		for i, h := range hosts {
			r, ok := h.sender.Next(h.uses, true, hostIDs(1), now)
			if !ok || !r.Complete {
				t.Fatalf("got no complete report of host %d after 2 s, want one", i+1)
			}
			table.Merge(r, now)
			if len(h.uses) > 0 {
				want += h.uses[0].Cells
			}
		}
		if got := table.Load(now).Cells(engineID(0)); math.Abs(got-want) > 1e-9 {
			t.Fatalf("got %v after complete reports, want %v", got, want)
		}
	})
}

// Findings must be used for their time, once, and end with the incarnation of the engine.
func TestFindingsOfOthersExpire(t *testing.T) {
	t.Parallel()
	type applied struct {
		at int
		usage.Finding
	}
	finding := func(k usage.Kind, left int) usage.Finding {
		return usage.Finding{Engine: engineID(0), Kind: k, Left: ms(left)}
	}
	for _, c := range []struct {
		name     string
		findings []applied
		at       int
		want     usage.Kind
	}{
		{"none", nil, 0, 0},
		{"down", []applied{{0, finding(usage.Down, 0)}}, 3999, usage.Down},
		{"down ends", []applied{{0, finding(usage.Down, 0)}}, 4000, 0},
		{"full", []applied{{0, finding(usage.Full, 100)}}, 99, usage.Full},
		{"full ends", []applied{{0, finding(usage.Full, 100)}}, 100, 0},
		{"full is bounded", []applied{{0, finding(usage.Full, 60000)}}, 300, 0},
		{"back", []applied{{0, finding(usage.Down, 0)}, {10, finding(usage.Back, 0)}}, 20, 0},
		{"back of a full one", []applied{{0, finding(usage.Full, 300)}, {10, finding(usage.Back, 0)}}, 20, 0},
		{"full does not end down", []applied{{0, finding(usage.Down, 0)}, {10, finding(usage.Full, 100)}}, 500, usage.Down},
		{"unknown kind", []applied{{0, finding(77, 0)}}, 1, 0},
	} {
		is := is.New(t)
		table := usage.NewTable()
		for _, a := range c.findings {
			table.Apply(1, a.Finding, start.Add(ms(a.at)))
		}
		now := start.Add(ms(c.at))
		kind, _, _ := table.Load(now).Avoided(engineID(0), now)
		if kind != c.want {
			t.Errorf("%s: got %v, want %v", c.name, kind, c.want)
		}
		_, _, avoided := table.Load(now).Avoided(engineID(1), now) // the next incarnation has another ID
		is.True(!avoided)
	}
	if usage.NewEngineID("a", "e/1") == usage.NewEngineID("a", "e/2") {
		t.Error("got the same ID for two incarnations, want different ones")
	}
}

// A finding must not be applied twice, or after a newer one about the same engine, but one
// that a report of uses has overtaken must be.
func TestFindingsAreAppliedInOrder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	table := usage.NewTable()
	report := func(seq uint64, all ...usage.Finding) usage.Report {
		return usage.Report{Host: 1, Incarnation: 1, Seq: seq, Findings: all}
	}
	down, back := usage.Finding{Engine: engineID(0), Kind: usage.Down}, usage.Finding{Engine: engineID(0), Kind: usage.Back}
	is.Equal(len(table.Merge(report(2), start)), 0)
	is.Equal(len(table.Merge(report(1, down), start)), 1)
	is.Equal(len(table.Merge(report(1, down), start)), 0)
	is.Equal(len(table.Merge(report(4, back), start)), 1)
	is.Equal(len(table.Merge(report(3, down), start)), 0)
}
