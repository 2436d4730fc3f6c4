package pipeline_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/pipeline"
	"bulrushshed/replica"
)

// The streams of a failed engine are rerouted within a moment. If all of them went to the
// same engine, it would read their tokens one after the other, and the last ones would
// pause for long.
func TestStreamsOfFailedEngineAreSpread(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const streams, others = 24, 4
	p := planner()
	l := replica.NewList(time.Second)
	first, failed := engine(0, "a", "fast", 0, 2), engine(1, "a", "fast", 2, 4)
	l.Replace([]replica.Replica{first, failed}, time.Now())
	req := pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 50}
	old, _, err := p.Path(l.View(), req, time.Now())
	is.NoErr(err)
	for i := range others {
		l.Put(engine(2+i, "a", "fast", 2, 4))
	}
	req.Avoid = map[string]bool{failed.Address: true}
	got := map[string]int{}
	now := time.Now()
	for range streams {
		r, _, err := p.Reroute(l.View(), req, old, now)
		is.NoErr(err)
		got[r.Hops[1].Address]++
	}
	is.Equal(len(got), others)
	for address, n := range got {
		if n > streams/others+2 {
			t.Errorf("got %d of %d streams rerouted to %s, want about %d", n, streams, address, streams/others)
		}
	}
}

// Once the engines have read the tokens, a later reroute is not affected by them.
func TestBacklogOfRerouteEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := planner()
	l := replica.NewList(time.Second)
	l.Replace([]replica.Replica{engine(0, "a", "fast", 0, 2), engine(1, "a", "fast", 2, 4), engine(2, "a", "fast", 2, 4), engine(3, "b", "slow", 2, 4)}, time.Now())
	req := pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 50}
	old, _, err := p.Path(l.View(), req, time.Now())
	is.NoErr(err)
	req.Avoid = map[string]bool{old.Hops[1].Address: true}
	now := time.Now()
	for i := range 5 {
		r, release, err := p.Reroute(l.View(), req, old, now)
		is.NoErr(err)
		release()
		is.Equal(fmt.Sprint(i, len(r.Hops)), fmt.Sprint(i, 2))
		is.True(r.Hops[1].Address != "e3") // a busy engine of the domain is better than a slow one of another
		now = now.Add(time.Minute)
	}
}
