package pipeline_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/pipeline"
	"bulrushshed/replica"
)

// A full failure domain is left for one that has room, though paths there begin with
// a longer way.
func TestACrowdedFailureDomainIsLeft(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := model(4)
	v := view(engine(0, "a", "slow", 0, 4), engine(1, "b", "slow", 0, 4))
	p := planner()
	p.Reported("e0", 1, 0.7, time.Now())
	ask := pipeline.PathRequest{Service: "s", Model: m, Tokens: 10}
	r, _, err := p.Path(v, ask, time.Now())
	is.NoErr(err)
	is.Equal(addresses(r), []string{"e1"})
}

// A stream that moves keeps the engines that hold its KV cache, though others are
// idle and faster.
func TestAMoveKeepsWhatItCan(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := model(6)
	l := replica.NewList(time.Second)
	l.Replace([]replica.Replica{engine(0, "a", "slow", 0, 2), engine(1, "a", "slow", 2, 4), engine(2, "a", "slow", 4, 6)}, time.Now())
	p := planner()
	ask := pipeline.PathRequest{Service: "s", Model: m, Tokens: 10}
	old, _, err := p.Path(l.View(), ask, time.Now())
	is.NoErr(err)
	l.Put(engine(3, "a", "fast", 2, 4))
	l.Put(engine(4, "a", "slow", 4, 6))
	ask.Avoid = map[string]bool{"e2": true}
	r, _, err := p.Reroute(l.View(), ask, old, time.Now())
	is.NoErr(err)
	is.Equal(addresses(r), []string{"e0", "e1", "e4"})
}

// In a large fleet few engines are searched; the others still serve when those must
// not be used, or have become slow.
func TestALargeFleetIsUsedWhole(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := fleetModel()
	v := placedFleet(m, 400, 1)
	p := planner()
	now := time.Now()
	ask := pipeline.PathRequest{Service: "s", Model: m, Tokens: 900, Avoid: map[string]bool{}}
	// used takes what the searched engines are from path to path.
	used := func(n int) map[string]bool {
		all := map[string]bool{}
		for range n {
			r, release, err := p.Path(v, ask, now)
			is.NoErr(err)
			release()
			for _, h := range r.Hops {
				all[h.Address] = true
				ask.Avoid[h.Address] = true
			}
		}
		return all
	}
	before := used(8)
	is.True(len(before) > 40) // each path by other engines
	ask.Avoid = map[string]bool{}
	for address := range before {
		p.Reported(address, 12, 0, now)
	}
	now = now.Add(100 * time.Millisecond)
	for address := range used(1) {
		is.True(!before[address])
	}
}
