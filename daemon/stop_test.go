package daemon_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/do/v2"

	"bulrushshed/publication"
	"bulrushshed/rule"
	"bulrushshed/settings"
	"bulrushshed/standin"
)

// startService starts a service replica of the fleet for the rule class /stock/*, and waits
// until a host answers calls to it.
func (f *fleet) startService(t *testing.T, workTime time.Duration) *standin.Service {
	t.Helper()
	address := fmt.Sprintf("127.%d.0.2:9200", f.network)
	s, err := standin.NewService(standin.ServiceOptions{
		Name: "service-1", Address: address, FailureDomain: "0", Incarnation: 1, Serves: []string{"stock"}, WorkTime: workTime,
	})
	must(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { _ = standin.Listen(ctx, s.App(), address) })
	loops.Go(func() {
		for ctx.Err() == nil {
			_ = f.platform.Announce(s.Host())
			time.Sleep(200 * time.Millisecond)
		}
	})
	t.Cleanup(func() { cancel(); loops.Wait() })
	for f.platform.Announce(s.Host()) != nil {
		time.Sleep(20 * time.Millisecond)
	}
	_, err = publication.Publish(f.platform, rule.Publication{
		ID: publication.NewID(), Author: "test", Text: "class path=/stock/* service=stock idempotent=yes deadline=20s # test: calls\n",
	}, 50*time.Millisecond, 100)
	must(t, err)
	return s
}

// callUntilClosed sends calls over kept connections until stop is closed, and counts the
// answers by status.
func callUntilClosed(url string, stop <-chan struct{}, count func(status int)) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: time.Minute}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		default:
		}
		req, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			return
		}
		req.Header.Set("Customer", "ana")
		resp, err := client.Do(req)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		_ = resp.Body.Close()
		count(resp.StatusCode)
	}
}

const (
	// stopCallers are the callers of a host that stops, whose calls begin one after the other.
	stopCallers = 24
	// stopWorkTime is the duration of a call. It exceeds the time that a host gives the last
	// bytes of answers at its end.
	stopWorkTime = 4 * time.Second
)

// Guards against a stopping host that takes calls until its end and cuts the last ones off:
// callers go on through the whole stop.
func TestStoppingHostCutsNoCallThatItPassedOn(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, func(_ int, i do.Injector) {
		cfg := do.MustInvoke[settings.Settings](i)
		cfg.Times.Drain = settings.Duration(15 * time.Second)
		do.OverrideValue(i, cfg)
	})
	service := f.startService(t, stopWorkTime)
	stop := make(chan struct{})
	var answered, refused, failed atomic.Int64
	var callers sync.WaitGroup
	for n := range stopCallers {
		callers.Go(func() {
			time.Sleep(time.Duration(n) * stopWorkTime / stopCallers)
			callUntilClosed("http://"+f.address(0, 8080)+"/stock/1", stop, func(status int) {
				switch status {
				case http.StatusOK:
					answered.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					failed.Add(1)
				}
			})
		})
	}
	for end := time.Now().Add(30 * time.Second); answered.Load() == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("got no answers within 30 s")
		}
	}
	failed.Store(0) // those before the service was known
	f.hosts[0].stop()
	<-f.hosts[0].ended
	if service.Busy() {
		t.Error("got calls at the service when the host ended, want none")
	}
	close(stop)
	callers.Wait()
	if n := failed.Load(); n > 0 {
		t.Errorf("got %d calls that failed while the host stopped, want none", n)
	}
	t.Logf("%d answered, %d refused", answered.Load(), refused.Load())
}
