package proof_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/load"
	"bulrushshed/standin"
)

// sound holds a report against what must always hold.
func sound(t *testing.T, r load.Report) {
	t.Helper()
	is := is.New(t)
	is.True(r.Checked)
	is.Equal(r.Calls.Duplicated, nil)     // no call ran twice
	is.Equal(r.Calls.FalseNotRun, nil)    // no refused call ran
	is.Equal(r.Calls.AnsweredNotRun, nil) // no answer without a run
	is.Equal(r.TokenErrors, nil)          // every layer once a token, in order
	is.True(r.Calls.Answered > 0)
	is.True(r.Complete > 0)
}

func TestEntryHostsThatDieAndReturn(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2, twoPipelines)
	r := c.play(c.load(80, 7*time.Second), script{
		{1 * time.Second, func() { c.kill("entry-1") }},
		{2 * time.Second, func() { c.startEntry(1) }},
		{3 * time.Second, func() { c.kill("entry-2") }},
		{3500 * time.Millisecond, func() { c.kill("entry-3") }},
		{4 * time.Second, func() { c.startEntry(3); c.startEntry(2) }},
	})
	sound(t, r)
}

func TestEntryHostsThatFreeze(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2, twoPipelines)
	r := c.play(c.load(80, 8*time.Second), script{
		{1 * time.Second, func() { c.freeze("entry-1") }},
		{3 * time.Second, func() { c.thaw("entry-1") }},
		{3500 * time.Millisecond, func() { c.freeze("entry-1"); c.freeze("entry-2") }},
		{5 * time.Second, func() { c.thaw("entry-2") }},
		{6 * time.Second, func() { c.thaw("entry-1") }},
	})
	sound(t, r)
}

func TestServicesThatDieAndFreeze(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 3, twoPipelines)
	r := c.play(c.load(80, 8*time.Second), script{
		{1 * time.Second, func() { c.freeze("service-1") }},
		{2500 * time.Millisecond, func() { c.thaw("service-1") }},
		{3 * time.Second, func() { c.fault("http://"+c.service(2), standin.Fault{LoseAnswers: 20}) }},
		{5 * time.Second, func() { c.freeze("service-2"); c.freeze("service-3") }},
		{6 * time.Second, func() { c.thaw("service-2"); c.thaw("service-3") }},
	})
	sound(t, r)
}

func TestThePlatformIsDownSlowAndLosesAnswers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 2, twoPipelines)
	r := c.play(c.load(80, 9*time.Second), script{
		{1 * time.Second, func() { c.fault(c.platform(), standin.Fault{OutageMS: 2500}) }},
		{2 * time.Second, func() { c.kill("entry-1") }},
		{4 * time.Second, func() { c.fault(c.platform(), standin.Fault{SlowMS: 800}) }},
		{5 * time.Second, func() { c.startEntry(1); c.kill("entry-2") }},
		{6 * time.Second, func() { c.fault(c.platform(), standin.Fault{LoseAnswers: 30}) }},
		{6500 * time.Millisecond, func() { c.startEntry(2); c.freeze("entry-3") }},
		{8 * time.Second, func() { c.thaw("entry-3") }},
	})
	sound(t, r)
}

// While the log is down nothing else fails, so every call must be answered.
func TestALogOutageAloneRefusesNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3, 2, twoPipelines)
	r := c.play(c.load(80, 5*time.Second), script{
		{500 * time.Millisecond, func() { c.fault(c.platform(), standin.Fault{OutageMS: 6000}) }},
	})
	sound(t, r)
	is.Equal(r.Complete, r.Sent)
}
