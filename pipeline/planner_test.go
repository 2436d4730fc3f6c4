package pipeline_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bulrushshed/ingress"
	"bulrushshed/pipeline"
	"bulrushshed/replica"
	"bulrushshed/route"
)

func model(layers int) *ingress.Model {
	return &ingress.Model{
		Layers: layers, LayerMB: 100, KVTokenMB: 0.1 * float64(layers), StepTime: 10 * time.Millisecond,
		Accelerators: map[string]ingress.Accelerator{
			"fast": {MemoryMB: 2000, Slowness: 1}, "slow": {MemoryMB: 2000, Slowness: 5},
		},
	}
}

func engine(n int, domain, kind string, from, to int) replica.Replica {
	name := fmt.Sprintf("e%d", n)
	return replica.Replica{
		ID: name, Service: "s", Address: name, FailureDomain: domain, Started: 1, Accelerator: kind,
		Layers: route.Range{From: from, To: to},
	}
}

func view(all ...replica.Replica) *replica.View {
	l := replica.NewList(time.Second)
	l.Replace(all, time.Now())
	return l.View()
}

func planner() *pipeline.Planner {
	return pipeline.NewPlanner(pipeline.Options{FailureDomain: "a", LocalHosts: func() int { return 1 }})
}

func addresses(r route.Route) []string {
	var all []string
	for _, h := range r.Hops {
		all = append(all, h.Address)
	}
	return all
}

// A path stays in the host's failure domain, lies entirely in another one if its own
// lacks layers, and crosses domains only if no domain holds all layers.
func TestPathStaysInOneFailureDomain(t *testing.T) {
	t.Parallel()
	twoDomains := []replica.Replica{
		engine(0, "a", "slow", 0, 2), engine(1, "a", "slow", 2, 4),
		engine(2, "b", "slow", 0, 2), engine(3, "b", "slow", 2, 4),
	}
	for _, c := range []struct {
		name    string
		engines []replica.Replica
		want    []string
	}{
		{"local", twoDomains, []string{"e0", "e1"}},
		{"local lacks layers", twoDomains[1:], []string{"e2", "e3"}},
		{"each lacks layers", []replica.Replica{twoDomains[0], twoDomains[3]}, []string{"e0", "e3"}},
		{"faster path across domains is not used", append([]replica.Replica{engine(4, "c", "fast", 2, 4)}, twoDomains...), []string{"e0", "e1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, _, err := planner().Path(view(c.engines...), pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 10}, time.Now())
			is.NoErr(err)
			is.Equal(addresses(r), c.want)
		})
	}
}

// Of several equivalent failure domains, a host uses its own.
func TestPathStartsInLocalFailureDomain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	v := view(engine(0, "a", "fast", 0, 4), engine(1, "b", "fast", 0, 4), engine(2, "c", "fast", 0, 4))
	for domain, want := range map[string]string{"a": "e0", "b": "e1", "c": "e2"} {
		p := pipeline.NewPlanner(pipeline.Options{FailureDomain: domain, LocalHosts: func() int { return 1 }})
		r, _, err := p.Path(v, pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 10}, time.Now())
		is.NoErr(err)
		is.Equal(addresses(r), []string{want})
	}
}

func TestPathsDoNotMixVersions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	other := engine(1, "a", "fast", 2, 4)
	other.Version = 2
	_, _, err := planner().Path(view(engine(0, "a", "fast", 0, 2), other), pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 10}, time.Now())
	var e *route.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, route.KindNoRoute)
}

// Streams fill the engines of the local domain, then those of other domains, and are
// refused when no KV cache has capacity left. Released streams free their capacity.
func TestStreamsFillAvailableCapacity(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := planner()
	v := view(engine(0, "a", "fast", 0, 4), engine(1, "b", "fast", 0, 4))
	req := pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 1000}
	// An engine has 1600 MB besides its layers; a stream takes 400 MB.
	var releases []func()
	got := map[string]int{}
	for {
		r, release, err := p.Path(v, req, time.Now())
		if err != nil {
			break
		}
		releases = append(releases, release)
		got[r.Hops[0].Address]++
		if len(releases) > 100 {
			t.Fatal("got more than 100 streams, want a refusal")
		}
	}
	is.True(got["e0"] >= 3)
	// Engines of other domains are assumed to be as full as the local ones until
	// they report otherwise.
	is.True(got["e1"] >= 1 && got["e1"] <= got["e0"])
	p.RecordReport("e1", 1, 0, time.Now())
	for range 3 {
		r, release, err := p.Path(v, req, time.Now())
		is.NoErr(err)
		is.Equal(r.Hops[0].Address, "e1")
		releases = append(releases, release)
	}
	is.True(len(releases) <= 2*8) // at most twice the capacity, as estimates may be too high
	for _, release := range releases {
		release()
		release() // a second call does nothing
	}
	is.True(p.HasPath(v, req, time.Now()))
}

func TestSuspectsAreExcludedTemporarily(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := planner()
	now := time.Now()
	v := view(engine(0, "a", "fast", 0, 4), engine(1, "a", "slow", 0, 4))
	req := pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 10}
	p.Suspect("e0", now.Add(time.Minute))
	r, _, err := p.Path(v, req, now)
	is.NoErr(err)
	is.Equal(addresses(r), []string{"e1"})
	r, _, err = p.Path(v, req, now.Add(2*time.Minute))
	is.NoErr(err)
	is.Equal(addresses(r), []string{"e0"})
}

// A report of an engine takes precedence over this host's estimate.
func TestReportOverridesEstimate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := planner()
	now := time.Now()
	v := view(engine(0, "a", "fast", 0, 4), engine(1, "a", "fast", 0, 4))
	req := pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 10}
	p.RecordReport("e0", 12, 0.1, now)
	is.True(p.Slow("e0"))
	r, _, err := p.Path(v, req, now)
	is.NoErr(err)
	is.Equal(addresses(r), []string{"e1"})
	r, _, err = p.Path(v, req, now.Add(5*time.Second)) // a report of slowness is used for 6 s
	is.NoErr(err)
	is.Equal(addresses(r), []string{"e1"})
	p.RecordReport("e0", 1, 0.1, now)
	p.RecordReport("e1", 1, 0.99, now)
	r, _, err = p.Path(v, req, now)
	is.NoErr(err)
	is.Equal(addresses(r), []string{"e0"})
}

// Every path covers the layers without overlap, uses no engine twice, uses no avoided
// engine, and uses each engine only for layers that it holds. A path is found if
// usable engines hold every layer.
func TestPathsAreValid(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 10).Draw(t, "layers")
		var all []replica.Replica
		avoid := map[string]bool{}
		for i := range rapid.IntRange(0, 8).Draw(t, "engines") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			e := engine(i, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"), rapid.SampledFrom([]string{"fast", "slow"}).Draw(t, "kind"),
				from, rapid.IntRange(from+1, layers).Draw(t, "to"))
			avoid[e.Address] = rapid.IntRange(0, 4).Draw(t, "avoid") == 0
			all = append(all, e)
		}
		p := planner()
		v := view(all...)
		req := pipeline.PathRequest{Service: "s", Model: model(layers), Tokens: 10, Avoid: avoid}
		r, _, err := p.Path(v, req, time.Now())
		if err != nil {
			if u := p.UnservedLayer(v, req, time.Now()); u.Layer < 0 && pathExists(layers, all, avoid, 0, nil) {
				t.Fatalf("got %v, want a path through %v", err, all)
			}
			return
		}
		checkRoute(t, r, layers, v, avoid)
		old := r
		if len(old.Hops) < 2 {
			return
		}
		avoid[old.Hops[1].Address] = true
		r, _, err = p.Reroute(v, req, old, time.Now())
		if err != nil {
			return
		}
		checkRoute(t, r, layers, v, avoid)
		if r.Hops[0] != old.Hops[0] {
			t.Fatalf("got first hop %v, want %v as it was", r.Hops[0], old.Hops[0])
		}
	})
}

func checkRoute(t *rapid.T, r route.Route, layers int, v *replica.View, avoid map[string]bool) {
	if err := r.Check(layers); err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, h := range r.Hops {
		e, ok := v.ByAddress(h.Address)
		if !ok || !e.Layers.Covers(h.Layers) || seen[h.Address] || avoid[h.Address] {
			t.Fatalf("got hop %v, want one that may be used, once", h)
		}
		seen[h.Address] = true
	}
}

// pathExists reports whether there is a path that uses no engine twice.
func pathExists(layers int, all []replica.Replica, avoid map[string]bool, at int, used []string) bool {
	if at == layers {
		return true
	}
	for _, e := range all {
		taken := false
		for _, u := range used {
			taken = taken || u == e.Address
		}
		if taken || avoid[e.Address] || e.Layers.From > at || e.Layers.To <= at {
			continue
		}
		for to := at + 1; to <= e.Layers.To; to++ {
			if pathExists(layers, all, avoid, to, append(used[:len(used):len(used)], e.Address)) {
				return true
			}
		}
	}
	return false
}

// Engines through which other streams receive events are not suspected of stalling a
// stream.
func TestProgressTrackerClearsEnginesOfActiveStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	hop := func(names ...string) route.Route {
		var r route.Route
		for _, n := range names {
			r.Hops = append(r.Hops, route.Hop{Address: n})
		}
		return r
	}
	now := time.Unix(100, 0)
	p := pipeline.NewProgressTracker()
	stalled, active := p.Track(hop("a", "b", "c"), now), p.Track(hop("a", "d", "c"), now)
	stalled.RecordEvent(now)
	active.RecordEvent(now)
	is.Equal(stalled.StallCandidates(), []string{"a", "b", "c"}) // active has received no event since stalled has
	now = now.Add(100 * time.Millisecond)
	active.RecordEvent(now)
	is.Equal(stalled.StallCandidates(), []string{"b"})
	is.Equal(stalled.SinceLastEvent(now), 100*time.Millisecond)
	is.True(p.HasRecentEvent("d", 10*time.Millisecond, now))
	is.True(!p.HasRecentEvent("b", 10*time.Millisecond, now))
	is.True(!p.HasRecentEvent("unknown", 10*time.Millisecond, now))
	stalled.RecordEvent(now)
	active.Untrack()
	is.Equal(len(stalled.StallCandidates()), 3)
}

// A layer whose engines only lack capacity is told from one whose engines have failed.
func TestUnservedLayerTellsFullFromFailedEngines(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		exclude func(p *pipeline.Planner, until time.Time)
		full    int
	}{
		{"failed", func(p *pipeline.Planner, until time.Time) { p.Suspect("e1", until) }, 0},
		{"busy", func(p *pipeline.Planner, until time.Time) { p.SuspectBusy("e1", until) }, 1},
		{"busy, then failed", func(p *pipeline.Planner, until time.Time) {
			p.SuspectBusy("e1", until)
			p.Suspect("e1", until)
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			first, second := engine(0, "a", "fast", 0, 2), engine(1, "a", "fast", 2, 4)
			p := planner()
			c.exclude(p, time.Now().Add(time.Minute))
			u := p.UnservedLayer(view(first, second), pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 10}, time.Now())
			is.Equal(u, pipeline.UnservedLayer{Layer: 2, Holders: 1, Full: c.full})
		})
	}
}

// The controller moves layers off engines that are down, which a busy engine is not.
func TestBusyEngineIsNotDown(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := planner()
		until := time.Now().Add(time.Minute)
		p.SuspectBusy("e1", until)
		time.Sleep(2 * time.Second)
		is.True(!p.Down("e1", time.Now()))
		p.Suspect("e1", until)
		is.True(!p.Down("e1", time.Now())) // only from now on
		time.Sleep(2 * time.Second)
		is.True(p.Down("e1", time.Now()))
	})
}
