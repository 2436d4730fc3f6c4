package proof_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/history"
	"bulrushshed/standin"
)

// lastWork returns when a service replica last began a call.
func (c *cluster) lastWork(n int) time.Time {
	var all []history.Execution
	c.must(c.get("http://"+c.service(n)+"/executions", &all))
	var last time.Time
	for _, e := range all {
		if e.At.After(last) {
			last = e.At
		}
	}
	return last
}

// A replica that leaves and one that has left get no new work, and one that
// returns under the same address does.
func TestAReplicaThatLeavesAndReturns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3, 3, twoPipelines)
	var left time.Time
	r := c.play(c.load(80, 16*time.Second), script{
		{2 * time.Second, func() {
			left = time.Now()
			is.Equal(c.stop("service-1"), 0)
			c.startService(1)
		}},
	})
	sound(t, r)
	is.Equal(r.Complete, r.Sent)
	is.True(c.lastWork(1).After(left.Add(5 * time.Second))) // it works again
}

// News that a host leaves names its incarnation, so that a host which returns
// at once is not masked by it, also on hosts that hear it late.
func TestAReturnIsNotMasked(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2, twoPipelines[:2])
	c.freeze("entry-3")
	c.kill("fast-1")
	c.startEngine(0)
	time.Sleep(time.Second)
	c.thaw("entry-3")
	c.eventually("all see the engine again", c.allSeeAll)
}

// While the platform is down, only the replica itself says that it leaves, and
// each entry host hears of it once, from it or from another host.
func TestAReplicaThatLeavesWhileThePlatformIsDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3, 3, twoPipelines)
	r := c.play(c.load(80, 8*time.Second), script{
		{500 * time.Millisecond, func() { c.fault(c.platform(), standin.Fault{OutageMS: 9000}) }},
		{1 * time.Second, func() { c.must(c.post("http://"+c.service(1)+"/drain", nil)) }},
	})
	sound(t, r)
	is.Equal(r.Complete, r.Sent)
	var refused []history.Execution
	c.must(c.get("http://"+c.service(1)+"/refused", &refused))
	is.True(len(refused) > 0) // it was asked at least once
	// A host that went on asking would send it a third of all calls.
	is.True(len(refused) < r.Calls.Calls/10)
}
