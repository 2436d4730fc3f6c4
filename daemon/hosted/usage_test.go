package hosted_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"
)

func (r *replicaStandIn) streamCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streams
}

const downFindings = `bulrushshed_usage_findings_total{kind="down"}`

// An engine that one host found down must be avoided by the others before they try it.
func TestEngineThatOneHostFoundDownIsAvoidedByAll(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 3)
	await(t, "layers on both engines", func() bool { return len(f.engines[0].receivedOrders()) == 1 && len(f.engines[1].receivedOrders()) == 1 })
	for _, h := range f.hosts {
		await(t, "reports of the other hosts", func() bool { return h.metric(t, "bulrushshed_usage_hosts") == 2 })
		await(t, "response 200 to /draft/1", func() bool { return statusOf(h.request(t, "POST", "/draft/1", "k1")) == 200 })
	}
	// The engine that the hosts use while both are listed hangs.
	time.Sleep(time.Second)
	counts := lo.Map(f.engines, func(e *replicaStandIn, _ int) int { return e.streamCount() })
	const samples = 5
	for range samples {
		for _, h := range f.hosts {
			is.Equal(statusOf(h.request(t, "POST", "/draft/1", "k1")), 200)
		}
	}
	hung := f.engines[0]
	if f.engines[1].streamCount()-counts[1] > f.engines[0].streamCount()-counts[0] {
		hung = f.engines[1]
	}
	hung.set(func(r *replicaStandIn) { r.hung = true })
	finder, others := f.hosts[0], f.hosts[1:]
	await(t, "finding at the other hosts", func() bool {
		finder.request(t, "POST", "/draft/1", "k1")
		return others[0].metric(t, downFindings) > 0 && others[1].metric(t, downFindings) > 0
	})
	before := hung.streamCount()
	// Streams at the same time would use both engines.
	const streams = 8
	statuses := make(chan int, streams)
	for _, h := range others {
		for i := range streams {
			go func() { statuses <- statusOf(h.request(t, "POST", fmt.Sprintf("/draft/%d", i), "k1")) }()
		}
		for range streams {
			is.Equal(<-statuses, 200)
		}
	}
	is.Equal(hung.streamCount(), before)
}

// A host that stops must not count any more, although it has reported just before, and one
// that is alone in its domain must send nothing.
func TestStoppedHostNoLongerCounts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2)
	for _, h := range f.hosts {
		await(t, "report of the other host", func() bool { return h.metric(t, "bulrushshed_usage_hosts") == 1 })
	}
	f.hosts[1].stop()
	is.NoErr(<-f.hosts[1].done)
	f.hosts[1].done <- nil
	await(t, "no reporting host", func() bool { return f.hosts[0].metric(t, "bulrushshed_usage_hosts") == 0 })
	const sent = `bulrushshed_usage_reports_total{direction="sent"}`
	await(t, "no member but this host", func() bool { return f.hosts[0].metric(t, "bulrushshed_hosts") == 1 })
	time.Sleep(time.Second)
	before := f.hosts[0].metric(t, sent)
	time.Sleep(2 * time.Second)
	is.Equal(f.hosts[0].metric(t, sent), before)
}
