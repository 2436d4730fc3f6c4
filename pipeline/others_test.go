package pipeline_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/pipeline"
	"bulrushshed/replica"
	"bulrushshed/usage"
)

const otherHost = usage.HostID(7)

// othersPlanner returns a planner of one of two hosts, with the reports of the other one.
func othersPlanner() (*pipeline.Planner, *usage.Table) {
	table := usage.NewTable()
	table.SetServing([]usage.HostID{otherHost})
	return pipeline.NewPlanner(pipeline.Options{FailureDomain: "a", LocalHosts: func() int { return 2 }, Others: table}), table
}

func idOf(r replica.Replica) usage.EngineID { return usage.NewEngineID(r.Address, r.Incarnation()) }

// An engine that the other host has filled must not be used although this host has no
// stream on it; once no report is recent, the other host is assumed to use as much as this
// one.
func TestPathAvoidsWhatOtherHostsUse(t *testing.T) {
	t.Parallel()
	p, table := othersPlanner()
	filled, free := engine(0, "a", "fast", 0, 4), engine(1, "a", "slow", 0, 4)
	v, now := view(filled, free), time.Now()
	req := pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 10}
	table.Merge(usage.Report{Host: otherHost, Incarnation: 1, Seq: 1, Complete: true, Uses: []usage.Use{{Engine: idOf(filled), Cells: 0.9}}}, now)
	for _, c := range []struct {
		after time.Duration
		want  string
	}{{0, "e1"}, {time.Second, "e1"}, {3001 * time.Millisecond, "e0"}} {
		is := is.New(t)
		r, release, err := p.Path(v, req, now.Add(c.after))
		is.NoErr(err)
		is.Equal(addresses(r), []string{c.want})
		release()
	}
}

// A host that is alone with its streams must use all of an engine, not a share of it.
func TestIdleHostsLeaveTheirCapacity(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	count := func(reports bool) (n int) {
		p, table := othersPlanner()
		now := time.Now()
		for ; n < 100; n++ {
			// The other host may have placed streams since its last report; a while later it
			// is known not to have.
			now = now.Add(time.Second)
			if reports {
				table.Merge(usage.Report{Host: otherHost, Incarnation: 1, Seq: uint64(n + 1), Complete: true}, now)
			}
			if _, _, err := p.Path(view(engine(0, "a", "fast", 0, 4)), pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 400}, now); err != nil {
				return n
			}
		}
		return n
	}
	with, without := count(true), count(false)
	if with < 2*without-1 {
		t.Errorf("got %d streams on an engine beside an idle host, want at least %d", with, 2*without-1)
	}
	is.True(without > 2)
}

// The engines of other domains are assumed to be as full as those of this one, which other
// hosts may have filled.
func TestOtherHostsCountForRemoteDomains(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p, table := othersPlanner()
	now := time.Now()
	local := engine(0, "a", "fast", 0, 4)
	v := view(local, engine(1, "b", "fast", 0, 4))
	req := pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 10, Avoid: map[string]bool{"e0": true}}
	fits := func() int {
		for n := 0; ; n++ {
			if _, _, err := p.Path(v, req, now); err != nil || n == 1000 {
				return n
			}
		}
	}
	table.Merge(usage.Report{Host: otherHost, Incarnation: 1, Seq: 1, Complete: true, Uses: []usage.Use{{Engine: idOf(local), Cells: 0.7}}}, now)
	full := fits()
	p, table = othersPlanner()
	table.Merge(usage.Report{Host: otherHost, Incarnation: 1, Seq: 1, Complete: true}, now)
	is.True(full < fits())
}

// What another host found out must be used at once, and not for another incarnation of the
// engine. If there is no other path, an engine that this host has not found down itself is
// tried.
func TestPathAvoidsEnginesThatOthersReport(t *testing.T) {
	t.Parallel()
	best, other := engine(0, "a", "fast", 0, 4), engine(1, "a", "slow", 0, 4)
	restarted := best
	restarted.Started = 2
	for _, c := range []struct {
		name    string
		kinds   []usage.Kind
		engines []replica.Replica
		want    string
	}{
		{"nothing", nil, []replica.Replica{best, other}, "e0"},
		{"down", []usage.Kind{usage.Down}, []replica.Replica{best, other}, "e1"},
		{"full", []usage.Kind{usage.Full}, []replica.Replica{best, other}, "e1"},
		{"back", []usage.Kind{usage.Down, usage.Back}, []replica.Replica{best, other}, "e0"},
		{"restarted", []usage.Kind{usage.Down}, []replica.Replica{restarted, other}, "e0"},
		{"down without another path", []usage.Kind{usage.Down}, []replica.Replica{best}, "e0"},
		{"full without another path", []usage.Kind{usage.Full}, []replica.Replica{best}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p, table := othersPlanner()
			now := time.Now()
			for _, k := range c.kinds {
				table.Apply(otherHost, usage.Finding{Engine: idOf(best), Kind: k, Left: 300 * time.Millisecond}, now)
			}
			req := pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 10}
			r, _, err := p.Path(view(c.engines...), req, now)
			if c.want == "" {
				is.True(err != nil)
				is.Equal(p.UnservedLayer(view(c.engines...), req, now).Full, 1)
				return
			}
			is.NoErr(err)
			is.Equal(addresses(r), []string{c.want})
			is.True(!p.Down("e0", now.Add(2*time.Second))) // only this host's own findings lead to repairs
		})
	}
}

// A running stream must not be moved to an engine that another host found down.
func TestRerouteAvoidsEnginesThatOthersReport(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p, table := othersPlanner()
	now := time.Now()
	down := engine(2, "a", "fast", 2, 4)
	v := view(engine(0, "a", "fast", 0, 2), engine(1, "a", "fast", 2, 4), down, engine(3, "a", "slow", 2, 4))
	req := pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 10, Avoid: map[string]bool{"e2": true, "e3": true}}
	old, _, err := p.Path(v, req, now)
	is.NoErr(err)
	table.Apply(otherHost, usage.Finding{Engine: idOf(down), Kind: usage.Down}, now)
	req.Avoid = map[string]bool{"e1": true}
	r, _, err := p.Reroute(v, req, old, now)
	is.NoErr(err)
	is.Equal(addresses(r), []string{"e0", "e3"})
	req.Avoid["e3"] = true
	r, _, err = p.Reroute(v, req, old, now)
	is.NoErr(err)
	is.Equal(addresses(r), []string{"e0", "e2"})
}

// What this host reports must be what its streams use, and nothing once they have ended.
func TestUsesAreThoseOfRunningStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p, _ := othersPlanner()
	e := engine(0, "a", "fast", 0, 4)
	is.Equal(len(p.Uses()), 0)
	_, release, err := p.Path(view(e), pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 400}, time.Now())
	is.NoErr(err)
	all := p.Uses()
	is.Equal(len(all), 1)
	is.Equal(all[0].Engine, idOf(e))
	is.Equal(all[0].Streams, 1)
	is.True(all[0].Cells > 0.09 && all[0].Cells < 0.11) // 160 MB of 1600 MB
	release()
	is.Equal(len(p.Uses()), 0)
}
