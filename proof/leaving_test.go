package proof_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/history"
	"bulrushshed/standin"
)

// lastExecution returns the start time of the last call that a service replica
// executed.
func (c *cluster) lastExecution(n int) time.Time {
	var all []history.Execution
	c.noError(c.get("http://"+c.serviceAddress(n)+"/executions", &all))
	var last time.Time
	for _, e := range all {
		if e.At.After(last) {
			last = e.At
		}
	}
	return last
}

// A replica that is draining or has stopped must receive no new work, and one
// that restarts at the same address must receive work again.
func TestReplicaDrainAndRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3, 3, twoPipelines)
	var drainStart time.Time
	r := c.runLoad(c.mixedLoad(80, 16*time.Second), schedule{
		{2 * time.Second, func() {
			drainStart = time.Now()
			is.Equal(c.stop("service-1"), 0)
			c.startService(1)
		}},
	})
	checkInvariants(t, r)
	is.Equal(r.Complete, r.Sent)
	is.True(c.lastExecution(1).After(drainStart.Add(5 * time.Second))) // it receives work again
}

// A notice that a host is leaving names one incarnation of it. A host that
// restarts at once must not be hidden by a notice about its earlier incarnation,
// even on entry hosts that receive the notice late.
func TestLateLeaveNoticeDoesNotHideRestart(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2, twoPipelines[:2])
	c.suspend("entry-3")
	c.kill("fast-1")
	c.startEngine(0)
	time.Sleep(time.Second)
	c.resume("entry-3")
	c.eventually("all entry hosts consider the engine usable again", c.allHostsUsable)
}

// During a platform outage, only the replica itself announces that it is
// draining. Each entry host must learn of it at the latest from its first refused
// call, or from another entry host, and then stop sending calls.
func TestReplicaDrainDuringPlatformOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3, 3, twoPipelines)
	r := c.runLoad(c.mixedLoad(80, 8*time.Second), schedule{
		{500 * time.Millisecond, func() { c.injectFault(c.platformURL(), standin.Fault{OutageMS: 9000}) }},
		{1 * time.Second, func() { c.noError(c.post("http://"+c.serviceAddress(1)+"/drain", nil)) }},
	})
	checkInvariants(t, r)
	is.Equal(r.Complete, r.Sent)
	var refused []history.Execution
	c.noError(c.get("http://"+c.serviceAddress(1)+"/refused", &refused))
	is.True(len(refused) > 0) // it received at least one call
	// An entry host that kept using the replica would send it a third of its
	// calls.
	is.True(len(refused) < r.Calls.Total/10)
}
