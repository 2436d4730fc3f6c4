package proof_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/load"
	"bulrushshed/standin"
)

// streamLoad returns the options of a load that consists of completions only.
func (c *cluster) streamLoad(rate float64, d time.Duration) load.Options {
	o := c.mixedLoad(rate, d)
	o.Calls, o.StockChecks = 0, 0
	o.MaxTokens = 40
	return o
}

// checkStreamInvariants checks the invariants that a report on completions must
// satisfy: all are complete and correct, and no caller had to retry.
func checkStreamInvariants(t *testing.T, r load.Report) {
	t.Helper()
	is := is.New(t)
	is.Equal(r.TokenErrors, nil)
	is.Equal(r.Complete, r.Sent)
	is.Equal(r.Restarted, 0) // no caller had to repeat a request
}

func TestStageCrash(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 1, twoPipelines)
	r := c.runLoad(c.streamLoad(40, 8*time.Second), schedule{
		{1 * time.Second, func() { c.kill("fast-2") }},
		{2 * time.Second, func() { c.startEngine(1) }},
		{4 * time.Second, func() { c.kill("fast-1") }},
		{4500 * time.Millisecond, func() { c.kill("slow-3") }},
		{5 * time.Second, func() { c.startEngine(0) }},
	})
	checkStreamInvariants(t, r)
}

func TestStageHang(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 1, twoPipelines)
	r := c.runLoad(c.streamLoad(40, 8*time.Second), schedule{
		{1 * time.Second, func() { c.suspend("fast-1") }},
		{3 * time.Second, func() { c.resume("fast-1") }},
		{4 * time.Second, func() { c.suspend("fast-2") }},
		{6 * time.Second, func() { c.resume("fast-2") }},
	})
	checkStreamInvariants(t, r)
}

// While no route covers all layers, streams must wait until a stage is back
// rather than fail.
func TestStreamsWaitForRoute(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1, twoPipelines[:2])
	r := c.runLoad(c.streamLoad(20, 4*time.Second), schedule{
		{1 * time.Second, func() { c.kill("fast-2") }},
		{2 * time.Second, func() { c.startEngine(1) }},
	})
	checkStreamInvariants(t, r)
}

// A rolling restart of entry hosts, engines and services under load must not
// interrupt any request.
func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3, 2, twoPipelines)
	o := c.mixedLoad(30, 60*time.Second)
	restart := func(name string, start func()) func() {
		return func() {
			is.Equal(c.stop(name), 0)
			start()
		}
	}
	var s schedule
	at := time.Second
	add := func(name string, start func()) {
		s = append(s, scheduledAction{at, restart(name, start)})
		at += 500 * time.Millisecond
	}
	for n := 1; n <= c.entries; n++ {
		add(c.entryName(n), func() { c.startEntry(n); c.eventually("the entry host is usable again", c.allHostsUsable) })
	}
	add("fast-2", func() { c.startEngine(1) })
	add("slow-1", func() { c.startEngine(2) })
	add("service-1", func() { c.startService(1); c.eventually("the service is usable again", c.allHostsUsable) })
	add("service-2", func() { c.startService(2) })
	o.Duration = 45 * time.Second
	r := c.runLoad(o, s)
	checkInvariants(t, r)
	is.Equal(r.Complete, r.Sent)
	is.Equal(r.Restarted, 0)
	is.Equal(r.Unknown, 0)
}

// Streams must get around a cut or slow link, although the engines at both of
// its ends are alive and answer all requests from the entry hosts.
func TestCutAndSlowLinks(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 1, twoPipelines)
	setLinkDelay := func(delay int) func() {
		return func() {
			c.injectFault("http://"+c.engineAddress(0), standin.Fault{Links: map[string]int{"fast-2": delay}})
		}
	}
	// Routes avoid a failed link for five seconds.
	r := c.runLoad(c.streamLoad(40, 12*time.Second), schedule{
		{1 * time.Second, setLinkDelay(150)},
		{3 * time.Second, setLinkDelay(0)},
		{9 * time.Second, setLinkDelay(-1)},
		{11 * time.Second, setLinkDelay(0)},
	})
	checkStreamInvariants(t, r)
}
