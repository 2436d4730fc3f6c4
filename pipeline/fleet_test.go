package pipeline_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/pipeline"
	"bulrushshed/replica"
)

// When the local failure domain is full, the path goes to a domain with free capacity
// although starting there costs more.
func TestFullFailureDomainIsAvoided(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := model(4)
	v := view(engine(0, "a", "slow", 0, 4), engine(1, "b", "slow", 0, 4))
	p := planner()
	p.RecordReport("e0", 1, 0.7, time.Now())
	req := pipeline.PathRequest{Service: "s", Model: m, Tokens: 10}
	r, _, err := p.Path(v, req, time.Now())
	is.NoErr(err)
	is.Equal(addresses(r), []string{"e1"})
}

// A rerouted stream keeps the engines that hold its KV cache, although others are
// idle and faster.
func TestRerouteKeepsUnaffectedHops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := model(6)
	l := replica.NewList(time.Second)
	l.Replace([]replica.Replica{engine(0, "a", "slow", 0, 2), engine(1, "a", "slow", 2, 4), engine(2, "a", "slow", 4, 6)}, time.Now())
	p := planner()
	req := pipeline.PathRequest{Service: "s", Model: m, Tokens: 10}
	old, _, err := p.Path(l.View(), req, time.Now())
	is.NoErr(err)
	l.Put(engine(3, "a", "fast", 2, 4))
	l.Put(engine(4, "a", "slow", 4, 6))
	req.Avoid = map[string]bool{"e2": true}
	r, _, err := p.Reroute(l.View(), req, old, time.Now())
	is.NoErr(err)
	is.Equal(addresses(r), []string{"e0", "e1", "e4"})
}

// In a large fleet only some engines are searched. The others must still be used if
// the searched ones are avoided or have become slow.
func TestLargeFleetUsesAllEngines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := fleetModel()
	v := placeEngines(m, 400, 1)
	p := planner()
	now := time.Now()
	req := pipeline.PathRequest{Service: "s", Model: m, Tokens: 900, Avoid: map[string]bool{}}
	// usePaths requests n paths, each without the engines of the ones before, and
	// returns the engines of all.
	usePaths := func(n int) map[string]bool {
		all := map[string]bool{}
		for range n {
			r, release, err := p.Path(v, req, now)
			is.NoErr(err)
			release()
			for _, h := range r.Hops {
				all[h.Address] = true
				req.Avoid[h.Address] = true
			}
		}
		return all
	}
	before := usePaths(8)
	is.True(len(before) > 40)
	req.Avoid = map[string]bool{}
	for address := range before {
		p.RecordReport(address, 12, 0, now)
	}
	now = now.Add(100 * time.Millisecond)
	for address := range usePaths(1) {
		is.True(!before[address])
	}
}
