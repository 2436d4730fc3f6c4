package proof_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/load"
	"bulrushshed/standin"
)

// checkInvariants checks the invariants that a load report must satisfy under
// any fault.
func checkInvariants(t *testing.T, r load.Report) {
	t.Helper()
	is := is.New(t)
	is.True(r.CallsChecked)
	is.Equal(r.Calls.Duplicated, nil)     // no call was executed twice
	is.Equal(r.Calls.FalseNotRun, nil)    // no call reported as not run was executed
	is.Equal(r.Calls.AnsweredNotRun, nil) // no call was answered without being executed
	is.Equal(r.TokenErrors, nil)          // each token passed every layer once, in order
	is.True(r.Calls.Answered > 0)
	is.True(r.Complete > 0)
}

func TestEntryHostCrashAndRestart(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2, twoPipelines)
	r := c.runLoad(c.mixedLoad(80, 7*time.Second), schedule{
		{1 * time.Second, func() { c.kill("entry-1") }},
		{2 * time.Second, func() { c.startEntry(1) }},
		{3 * time.Second, func() { c.kill("entry-2") }},
		{3500 * time.Millisecond, func() { c.kill("entry-3") }},
		{4 * time.Second, func() { c.startEntry(3); c.startEntry(2) }},
	})
	checkInvariants(t, r)
}

func TestEntryHostHang(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2, twoPipelines)
	r := c.runLoad(c.mixedLoad(80, 8*time.Second), schedule{
		{1 * time.Second, func() { c.suspend("entry-1") }},
		{3 * time.Second, func() { c.resume("entry-1") }},
		{3500 * time.Millisecond, func() { c.suspend("entry-1"); c.suspend("entry-2") }},
		{5 * time.Second, func() { c.resume("entry-2") }},
		{6 * time.Second, func() { c.resume("entry-1") }},
	})
	checkInvariants(t, r)
}

// No call may be executed twice when service replicas hang, or execute a call
// without sending the response.
func TestServiceHangAndLostResponses(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 3, twoPipelines)
	r := c.runLoad(c.mixedLoad(80, 8*time.Second), schedule{
		{1 * time.Second, func() { c.suspend("service-1") }},
		{2500 * time.Millisecond, func() { c.resume("service-1") }},
		{3 * time.Second, func() { c.injectFault("http://"+c.serviceAddress(2), standin.Fault{LoseAnswers: 20}) }},
		{5 * time.Second, func() { c.suspend("service-2"); c.suspend("service-3") }},
		{6 * time.Second, func() { c.resume("service-2"); c.resume("service-3") }},
	})
	checkInvariants(t, r)
}

// Entry hosts crash, restart and hang while the platform is unavailable, slow, or
// executes requests without sending the response.
func TestPlatformOutageDelayAndLostResponses(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2, twoPipelines)
	r := c.runLoad(c.mixedLoad(80, 9*time.Second), schedule{
		{1 * time.Second, func() { c.injectFault(c.platformURL(), standin.Fault{OutageMS: 2500}) }},
		{2 * time.Second, func() { c.kill("entry-1") }},
		{4 * time.Second, func() { c.injectFault(c.platformURL(), standin.Fault{SlowMS: 800}) }},
		{5 * time.Second, func() { c.startEntry(1); c.kill("entry-2") }},
		{6 * time.Second, func() { c.injectFault(c.platformURL(), standin.Fault{LoseAnswers: 30}) }},
		{6500 * time.Millisecond, func() { c.startEntry(2); c.suspend("entry-3") }},
		{8 * time.Second, func() { c.resume("entry-3") }},
	})
	checkInvariants(t, r)
}

// While only the log is down, every request must still be answered.
func TestLogOutageAloneFailsNoRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3, 2, twoPipelines)
	r := c.runLoad(c.mixedLoad(80, 5*time.Second), schedule{
		{500 * time.Millisecond, func() { c.injectFault(c.platformURL(), standin.Fault{OutageMS: 6000}) }},
	})
	checkInvariants(t, r)
	is.Equal(r.Complete, r.Sent)
}
