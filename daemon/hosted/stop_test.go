package hosted_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that a planned stop cuts off without an answer: they were with their
// replicas at the end of the grace.
func TestStopAnswersRequestsThatItCutsOff(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 2)
	h := f.hosts[0]
	for _, r := range append(append([]*replicaStandIn{}, f.plain...), f.engines...) {
		r.set(func(r *replicaStandIn) { r.hung = true })
	}
	arrivals := func() (n int) {
		for _, r := range append(append([]*replicaStandIn{}, f.plain...), f.engines...) {
			n += r.arrivalCount()
		}
		return n
	}
	statuses := make(chan int, 2)
	before := arrivals()
	for _, path := range []string{"/confirm/1", "/draft/1"} {
		go func() { statuses <- statusOf(h.request(t, "POST", path, "k1")) }()
	}
	await(t, "requests at their replicas", func() bool { return arrivals() >= before+2 })
	h.stop()
	for range 2 {
		is.New(t).Equal(<-statuses, http.StatusBadGateway)
	}
}

// keptCaller sends requests over one kept connection until it is closed, and records which of
// them got no answer.
type keptCaller struct {
	path, key  string
	unanswered []string
	answered   int
}

func (c *keptCaller) run(t *testing.T, h *entryHost, stop <-chan struct{}) {
	kept := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: time.Minute}
	defer kept.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		default:
		}
		id := strconv.FormatInt(requestIDs.Add(1), 16)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+h.cfg.CallerAddress+c.path, nil)
		is.New(t).NoErr(err)
		req.Host = "h.example"
		req.Header.Set("Authorization", "Bearer "+c.key)
		req.Header.Set("X-Bulrushshed-Attempt-Id", id)
		resp, err := kept.Do(req)
		if err != nil {
			c.unanswered = append(c.unanswered, id)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.answered++
		_ = resp.Body.Close()
	}
}

// Guards against requests that a stopping host takes late in the grace, passes on and then
// cuts off: callers go on through the whole stop, on kept connections and on new ones.
func TestStoppingHostCutsNoRequestThatItPassedOn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newServingFleet(t, 2)
	passedOn := &repeats{seen: map[string]bool{}}
	for _, r := range f.plain {
		r.set(func(r *replicaStandIn) { r.repeats, r.workTime = passedOn, 300*time.Millisecond })
	}
	h := f.hosts[0]
	var callers []*keptCaller
	var all sync.WaitGroup
	stop := make(chan struct{})
	for range 24 {
		c := &keptCaller{path: "/confirm/1", key: "k1"}
		callers = append(callers, c)
		all.Go(func() { c.run(t, h, stop) })
	}
	await(t, "requests at the replicas", func() bool { return f.plain[0].callCount()+f.plain[1].callCount() > 24 })
	h.stop()
	is.NoErr(<-h.done)
	h.done <- nil
	for _, r := range f.plain {
		r.set(func(r *replicaStandIn) { is.Equal(r.working, 0) }) // the process ends now
	}
	close(stop)
	all.Wait()
	passedOn.mu.Lock()
	defer passedOn.mu.Unlock()
	for _, c := range callers {
		is.True(c.answered > 0)
		for _, id := range c.unanswered {
			is.True(!passedOn.seen[id]) // a request that was passed on must be answered
		}
	}
}
