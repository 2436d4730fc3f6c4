package pipeline_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/pipeline"
	"bulrushshed/replica"
)

// An engine that resets the connections of streams while its checks succeed would
// otherwise get streams until the retry budget is used up.
func TestEngineThatBreaksAnswersIsAvoided(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := planner()
	v := view(engine(0, "a", "fast", 0, 4), engine(1, "b", "slow", 0, 4))
	req := pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 10}
	now := time.Now()
	first := func(at time.Time) string {
		r, release, err := p.Path(v, req, at)
		is.NoErr(err)
		release()
		return r.Hops[0].Address
	}
	is.Equal(first(now), "e0")
	p.RecordAnswer("e0", true, now)
	is.Equal(first(now), "e1")
	is.Equal(first(now.Add(time.Minute)), "e0") // it is tried again
	p.RecordAnswer("e0", true, now.Add(time.Minute))
	for range 4 {
		p.RecordAnswer("e0", false, now.Add(time.Minute))
	}
	is.Equal(first(now.Add(time.Minute)), "e0") // it has recovered
}

// If no other engine has capacity, the stream is tried where it may break off, which is
// better than refusing it.
func TestEngineThatBreaksAnswersIsUsedWithoutAlternative(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := planner()
	v := view(engine(0, "a", "fast", 0, 4))
	for range 5 {
		p.RecordAnswer("e0", true, time.Now())
	}
	r, _, err := p.Path(v, pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 10}, time.Now())
	is.NoErr(err)
	is.Equal(addresses(r), []string{"e0"})
}

// If the answers of all engines break off, the fault is with this host or its links: the
// engines must be told apart by their other costs as before.
func TestAllEnginesBreakingAnswersAreComparedAsBefore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := planner()
	v := view([]replica.Replica{engine(0, "a", "slow", 0, 4), engine(1, "a", "fast", 0, 4)}...)
	for range 5 {
		p.RecordAnswer("e0", true, time.Now())
		p.RecordAnswer("e1", true, time.Now())
	}
	r, _, err := p.Path(v, pipeline.PathRequest{Service: "s", Model: model(4), Tokens: 10}, time.Now())
	is.NoErr(err)
	is.Equal(addresses(r), []string{"e1"})
}
