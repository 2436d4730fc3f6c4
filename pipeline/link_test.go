package pipeline_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/ingress"
	"bulrushshed/pipeline"
)

// linkedModel returns a model of 4 layers of which a prompt of 1,000 tokens occupies the
// link between two failure domains for 100 ms.
func linkedModel() *ingress.Model {
	m := model(4)
	m.ActivationMB, m.DomainLinkMBps = 0.02, 200
	return m
}

const promptTokens = 1000

// A burst of streams whose paths must leave the failure domain fills the link. Further ones
// are refused at once, until there is time on the link again; paths within a domain are not.
func TestBurstDoesNotFillTheLinksBetweenDomains(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	v := view(engine(0, "a", "fast", 0, 2), engine(1, "b", "fast", 2, 4), engine(2, "a", "fast", 0, 4))
	p := planner()
	now := time.Unix(100, 0)
	req := pipeline.PathRequest{Service: "s", Model: linkedModel(), Tokens: promptTokens, Avoid: map[string]bool{"e2": true}}
	accepted := func(now time.Time) (n int) {
		for range 40 {
			if _, release, err := p.Path(v, req, now); err == nil {
				release()
				n++
			}
		}
		return n
	}
	is.Equal(accepted(now), 3) // 250 ms of transfers may wait
	is.True(!p.HasPath(v, req, now))
	is.Equal(accepted(now.Add(50*time.Millisecond)), 0)
	is.Equal(accepted(now.Add(300*time.Millisecond)), 3)
	req.Avoid = nil
	_, _, err := p.Path(v, req, now.Add(300*time.Millisecond))
	is.NoErr(err)
}

// All streams of a failure domain lose an engine at once. Few of them are rerouted to
// another domain, as their activations would occupy the link for seconds; the others can be
// resumed there on a path of their own.
func TestManyReroutesDoNotFillTheLinks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	v := view(engine(0, "a", "fast", 0, 2), engine(1, "a", "fast", 2, 4), engine(2, "b", "fast", 0, 2), engine(3, "b", "fast", 2, 4))
	p := planner()
	now := time.Unix(100, 0)
	req := pipeline.PathRequest{Service: "s", Model: linkedModel(), Tokens: promptTokens}
	old, _, err := p.Path(v, req, now)
	is.NoErr(err)
	is.Equal(addresses(old), []string{"e0", "e1"})
	req.Avoid = map[string]bool{"e1": true}
	rerouted := 0
	for range 40 {
		if _, _, err := p.Reroute(v, req, old, now); err == nil {
			rerouted++
		}
	}
	is.Equal(rerouted, 5)
	req.Avoid["e0"] = true
	resumed, _, err := p.Path(v, req, now)
	is.NoErr(err)
	is.Equal(addresses(resumed), []string{"e2", "e3"})
}
