package forward_test

import (
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/forward"
	"bulrushshed/replica"
)

// deadlyReplicas are plain replicas that crash when they run a request with a deadly body.
// They are back after a while, as another incarnation.
type deadlyReplicas struct {
	f      *fixture
	deadly string

	mu      sync.Mutex
	crashes int
	// received counts the requests with a deadly body.
	received int
}

const (
	plainRestartTime = 3 * time.Second
	plainWorkTime    = 50 * time.Millisecond
)

func newDeadlyReplicas(f *fixture, deadly string) *deadlyReplicas {
	d := &deadlyReplicas{f: f, deadly: deadly}
	for _, id := range []string{"p0", "p1", "p2"} {
		f.upstream.answers[id] = d.serve
	}
	return d
}

func (d *deadlyReplicas) serve(s forward.Send) (*forward.UpstreamResponse, error) {
	address := s.Replica.Address
	before, _ := d.f.replicas.View().ByAddress(address)
	d.mu.Lock()
	if string(s.Request.Body) == d.deadly {
		d.received++
	}
	d.mu.Unlock()
	time.Sleep(plainWorkTime)
	now, _ := d.f.replicas.View().ByAddress(address)
	switch {
	case d.f.upstream.isDown(address) || now.Incarnation() != before.Incarnation():
		return nil, io.ErrUnexpectedEOF // it has crashed under another request
	case string(s.Request.Body) == d.deadly:
		d.crash(before)
		return nil, io.ErrUnexpectedEOF
	}
	return answerWith(200, "ok"), nil
}

func (d *deadlyReplicas) crash(r replica.Replica) {
	d.mu.Lock()
	d.crashes++
	d.mu.Unlock()
	d.f.upstream.takeDown(r.Address)
	time.AfterFunc(plainRestartTime, func() {
		r.Started++
		d.f.replicas.Put(r)
		d.f.upstream.bringUp(r.Address)
	})
}

func (u *upstream) isDown(address string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.down[address]
}

func (d *deadlyReplicas) counts() (crashes, received int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashes, d.received
}

// sendPlain sends a plain request with a body, and repeats a refused one once, when it was
// told to.
func (f *fixture) sendPlain(t *testing.T, rule, id, body string) (served bool) {
	t.Helper()
	for n := range 2 {
		req := request(rule)
		req.ID, req.Body = fmt.Sprint(id, "-", n), []byte(body)
		resp := f.forwarder.Do(t.Context(), req)
		switch {
		case resp.Status == 200:
			return true
		case resp.Status != 503:
			return false
		}
		time.Sleep(resp.RetryAfter)
	}
	return false
}

// A plain request that crashes each replica that runs it comes again all the time. Other
// requests of the same caller to the same path are served meanwhile.
func TestPlainRequestsThatCrashReplicasAreContained(t *testing.T) {
	t.Parallel()
	for _, rule := range []string{"safe", "unsafe"} {
		t.Run(rule, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(1000)
				d := newDeadlyReplicas(f, "deadly")
				var requests sync.WaitGroup
				var mu sync.Mutex
				sound, served := 0, 0
				const lasts, maxCrashes = 60 * time.Second, 4
				for i := range int(lasts / (100 * time.Millisecond)) {
					requests.Go(func() {
						ok := f.sendPlain(t, rule, fmt.Sprint("sound-", i), fmt.Sprint("body ", i))
						mu.Lock()
						defer mu.Unlock()
						sound++
						if ok {
							served++
						}
					})
					if i%5 == 0 {
						requests.Go(func() { is.True(!f.sendPlain(t, rule, fmt.Sprint("deadly-", i), "deadly")) })
					}
					time.Sleep(100 * time.Millisecond)
				}
				requests.Wait()
				crashes, received := d.counts()
				if crashes > maxCrashes || received > maxCrashes {
					t.Errorf("got %d crashes and %d sends, want at most %d", crashes, received, maxCrashes)
				}
				is.True(float64(served) >= 0.95*float64(sound))
				time.Sleep(plainRestartTime)
			})
		})
	}
}
