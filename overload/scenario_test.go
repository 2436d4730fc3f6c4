package overload_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// attackTime is how long the misbehaving clients go on before the checks. It is
	// longer than they need to send what they have.
	attackTime = 8 * time.Second
	// answerTimeout bounds the wait for an ordinary answer. It is no target.
	answerTimeout  = 60 * time.Second
	requestTimeout = 5 * time.Second
	// ordinaryInterval is the time between two requests of an ordinary caller.
	ordinaryInterval = 50 * time.Millisecond
)

// ordinary is an ordinary request of a caller or an operator.
type ordinary struct {
	url    string
	header http.Header
	host   string
}

// send sends the request and returns the status of the answer, or 0 without one.
func (o ordinary) send(ctx context.Context, c *http.Client) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, o.url, nil)
	if err != nil {
		return 0
	}
	req.Header, req.Host = o.header, o.host
	resp, err := c.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// newConnections returns an HTTP client that uses a new connection for each request.
func newConnections() *http.Client {
	return &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// awaitAnswer waits until the request is answered with 200. It returns false if the
// process ends before that, or if there is no such answer.
func (o ordinary) awaitAnswer(t *testing.T, p *process) bool {
	c := newConnections()
	for end := time.Now().Add(answerTimeout); time.Now().Before(end) && p.alive(); time.Sleep(ordinaryInterval) {
		if o.send(t.Context(), c) == http.StatusOK {
			return true
		}
	}
	return false
}

// repeat sends the request until ctx ends and counts the answers.
func (o ordinary) repeat(ctx context.Context, c *http.Client, answered, failed *atomic.Int64) {
	for ctx.Err() == nil {
		switch status := o.send(ctx, c); {
		case status == http.StatusOK:
			answered.Add(1)
		case ctx.Err() == nil:
			failed.Add(1)
		}
		time.Sleep(ordinaryInterval)
	}
}

// system is a process with what its tests need.
type system struct {
	process   *process
	maxMemory int64
	// callers and operators are ordinary requests. operators has no URL if the process
	// has no address for operators.
	callers   ordinary
	operators ordinary
}

// awaitReady waits until ordinary requests are answered.
func (s system) awaitReady(t *testing.T) {
	t.Helper()
	if !s.callers.awaitAnswer(t, s.process) || !s.operatorsAnswered(t) {
		t.Fatalf("got no answer before the attack; end of the log:\n%s", s.process.logTail())
	}
	t.Logf("peak memory before the attack: %d MB", readPeakMemory(s.process.pid)/bytesPerMB)
}

func (s system) operatorsAnswered(t *testing.T) bool {
	return s.operators.url == "" || s.operators.awaitAnswer(t, s.process)
}

// testAttack sets misbehaving clients on an address of the system while two ordinary
// callers go on, one of them with a connection that it keeps.
func (s system) testAttack(t *testing.T, address string, sets ...clientSet) {
	t.Helper()
	s.awaitReady(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var answered, failed atomic.Int64
	var wg sync.WaitGroup
	kept := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}}
	defer kept.CloseIdleConnections()
	for _, c := range []*http.Client{kept, newConnections()} {
		wg.Go(func() { s.callers.repeat(ctx, c, &answered, &failed) })
	}
	stop := attack(t, address, sets...)
	select {
	case <-time.After(attackTime):
	case <-s.process.exited:
	}
	s.checkAnswers(t, "during the attack")
	stop()
	s.checkAnswers(t, "after the attack")
	cancel()
	wg.Wait()
	t.Logf("ordinary callers: %d requests answered, %d not", answered.Load(), failed.Load())
	s.process.check(t, s.maxMemory)
}

// checkAnswers fails the test if ordinary requests are not answered.
func (s system) checkAnswers(t *testing.T, when string) {
	t.Helper()
	if !s.callers.awaitAnswer(t, s.process) {
		t.Errorf("got no answer 200 for a caller %s, want one", when)
	}
	if !s.operatorsAnswered(t) {
		t.Errorf("got no answer 200 for an operator %s, want one", when)
	}
}
