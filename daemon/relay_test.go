package daemon_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/do/v2"

	"bulrushshed/daemon"
	"bulrushshed/jsonhttp"
	"bulrushshed/publication"
	"bulrushshed/rule"
	"bulrushshed/standin"
)

// A host that is cut from the services has its calls relayed by another host, and makes
// them directly again after the cut.
func TestCallsAreRelayedDuringCut(t *testing.T) {
	t.Parallel()
	var cut atomic.Bool
	var direct atomic.Int64
	f := newFleet(t, 2, func(host int, i do.Injector) {
		if host != 0 {
			return
		}
		do.OverrideValue(i, daemon.DirectDial(func(ctx context.Context, address string) (net.Conn, error) {
			if cut.Load() {
				return nil, errors.New("connection refused (simulated cut)")
			}
			direct.Add(1)
			return jsonhttp.DialDirect(ctx, address)
		}))
	})
	serviceAddress := fmt.Sprintf("127.%d.0.2:9200", f.network)
	service, err := standin.NewService(standin.ServiceOptions{
		Name: "service-1", Address: serviceAddress, FailureDomain: "0", Incarnation: 1, Serves: []string{"stock"}, WorkTime: time.Millisecond,
	})
	must(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- standin.Listen(ctx, service.App(), serviceAddress)
	}()
	t.Cleanup(func() { cancel(); <-done })
	await := func(what string, condition func() bool) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("got no %s within 30 s", what)
			}
		}
	}
	await("platform that takes the service's entry", func() bool { return f.platform.Announce(service.Host()) == nil })
	_, err = publication.Publish(f.platform, rule.Publication{
		ID: publication.NewID(), Author: "test", Text: "class path=/stock/* service=stock idempotent=yes deadline=2s # test: relay\n",
	}, 50*time.Millisecond, 100)
	must(t, err)

	client := jsonhttp.NewClient(jsonhttp.DefaultOptions())
	var last string
	served := func() bool {
		must(t, f.platform.Announce(service.Host()))
		r, err := client.Do(jsonhttp.Request{
			Method: http.MethodGet, URL: "http://" + f.address(0, 8080) + "/stock/1", Headers: map[string]string{"Customer": "ana"}, Timeout: 5 * time.Second,
		})
		if err == nil {
			last = string(r.Body)
		}
		return err == nil && r.Status == http.StatusOK
	}
	await("answer", served)
	await("two hosts", func() bool { s, ok := f.status(0); return ok && len(s.Hosts) >= 3 })
	cut.Store(true)
	await("answer during the cut", served)
	before := direct.Load()
	for range 20 {
		if !served() {
			t.Fatalf("got a call that was not answered during the cut (%s), want all answered", last)
		}
	}
	if got := direct.Load(); got != before {
		t.Errorf("got %d direct connections during the cut, want 0", got-before)
	}
	cut.Store(false)
	await("direct connections after the cut", func() bool { before := direct.Load(); return served() && direct.Load() > before })
}
