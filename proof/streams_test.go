package proof_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/load"
	"bulrushshed/standin"
)

// streams is a load of completions alone.
func (c *cluster) streamLoad(rate float64, d time.Duration) load.Options {
	o := c.load(rate, d)
	o.Calls, o.Checks = 0, 0
	o.MaxTokens = 40
	return o
}

// soundStreams holds the answers of a load of completions against what must
// always hold.
func soundStreams(t *testing.T, r load.Report) {
	t.Helper()
	is := is.New(t)
	is.Equal(r.TokenErrors, nil)
	is.Equal(r.Complete, r.Sent)
	is.Equal(r.Restarted, 0) // no caller had to ask twice
}

func TestStagesThatDie(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 1, twoPipelines)
	r := c.play(c.streamLoad(40, 8*time.Second), script{
		{1 * time.Second, func() { c.kill("fast-2") }},
		{2 * time.Second, func() { c.startEngine(1) }},
		{4 * time.Second, func() { c.kill("fast-1") }},
		{4500 * time.Millisecond, func() { c.kill("slow-3") }},
		{5 * time.Second, func() { c.startEngine(0) }},
	})
	soundStreams(t, r)
}

func TestStagesThatFreeze(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 1, twoPipelines)
	r := c.play(c.streamLoad(40, 8*time.Second), script{
		{1 * time.Second, func() { c.freeze("fast-1") }},
		{3 * time.Second, func() { c.thaw("fast-1") }},
		{4 * time.Second, func() { c.freeze("fast-2") }},
		{6 * time.Second, func() { c.thaw("fast-2") }},
	})
	soundStreams(t, r)
}

// With no way left through the layers, streams wait for a stage to return.
func TestAllWaysThroughAreGoneForAWhile(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, twoPipelines[:2])
	r := c.play(c.streamLoad(20, 4*time.Second), script{
		{1 * time.Second, func() { c.kill("fast-2") }},
		{2 * time.Second, func() { c.startEngine(1) }},
	})
	soundStreams(t, r)
}

// A rolling restart of everything under load cuts nothing.
func TestARollingRestartCutsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3, 2, twoPipelines)
	o := c.load(30, 60*time.Second)
	restart := func(name string, start func()) func() {
		return func() {
			is.Equal(c.stop(name), 0)
			start()
		}
	}
	var s script
	at := time.Second
	add := func(name string, start func()) {
		s = append(s, event{at, restart(name, start)})
		at += 500 * time.Millisecond
	}
	for n := 1; n <= c.entries; n++ {
		add(c.entryName(n), func() { c.startEntry(n); c.eventually("it is back", c.allSeeAll) })
	}
	add("fast-2", func() { c.startEngine(1) })
	add("slow-1", func() { c.startEngine(2) })
	add("service-1", func() { c.startService(1); c.eventually("it is back", c.allSeeAll) })
	add("service-2", func() { c.startService(2) })
	o.Duration = 45 * time.Second
	r := c.play(o, s)
	sound(t, r)
	is.Equal(r.Complete, r.Sent)
	is.Equal(r.Restarted, 0)
	is.Equal(r.Unknown, 0)
}

// While a link is cut or slow, both of its ends answer all questions.
func TestLinksThatAreCutAndSlow(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 1, twoPipelines)
	link := func(delay int) func() {
		return func() { c.fault("http://"+c.engine(0), standin.Fault{Links: map[string]int{"fast-2": delay}}) }
	}
	// A link that failed is avoided for five seconds.
	r := c.play(c.streamLoad(40, 12*time.Second), script{
		{1 * time.Second, link(150)},
		{3 * time.Second, link(0)},
		{9 * time.Second, link(-1)},
		{11 * time.Second, link(0)},
	})
	soundStreams(t, r)
}
