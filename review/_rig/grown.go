package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["grown"] = playGrown }

const (
	// routesAtOnce is the number of routes that one version adds, growths the number of
	// such versions and growGap the time between them.
	routesAtOnce = 350
	growths      = 47
	growGap      = 400 * time.Millisecond
	// downFor is how long all processes are down, and recovery is bounds.recovery_s.
	downFor  = 1400 * time.Millisecond
	recovery = 12 * time.Second
	// observedFor is the time before the final fault, and after the recovery, over which
	// requests are counted.
	observedFor  = 10 * time.Second
	plainClients = 20
)

// playGrown lets the configuration grow by many routes and kills all processes. Later than
// recovery after they are back, requests must be served again.
func playGrown(d *deployment, trouble bool) (broken string, err error) {
	if d.plain, err = d.addReplicas("rota-app", "", 1); err != nil {
		return "", err
	}
	d.publish("first configuration", func(c map[string]any) {
		c["tenants"] = []any{map[string]any{"name": "tenant0", "priority": 1, names["keys"]: []any{"key0"}}}
	})
	if err := d.startHosts(); err != nil {
		return "", err
	}
	var mu sync.Mutex
	var all []sent
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range plainClients {
		clients.Go(func() {
			d.plainClient(n, stop, func(s sent) {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, s)
			})
		})
	}
	for n := range growths {
		time.Sleep(growGap)
		if trouble {
			d.publish(fmt.Sprintf("%d routes more", routesAtOnce), func(c map[string]any) { addRoutes(c, n) })
		}
	}
	text, err := json.Marshal(d.config)
	if err != nil {
		return "", err
	}
	d.rec.note("the configuration has %d routes and %d bytes", len(d.config["routes"].([]any)), len(text))
	time.Sleep(observedFor)
	d.publish("one more change", func(map[string]any) {})
	killedAt := time.Now()
	d.rec.note("all processes are killed")
	for _, h := range d.hosts {
		d.kill(h)
	}
	time.Sleep(downFor)
	for _, h := range d.hosts {
		if err := d.start(h); err != nil {
			return "", err
		}
	}
	backAt := time.Now()
	time.Sleep(recovery + observedFor)
	close(stop)
	clients.Wait()

	before := servedShare(all, killedAt.Add(-observedFor), killedAt)
	after := servedShare(all, backAt.Add(recovery), time.Now())
	for _, h := range d.hosts {
		d.rec.note("%s is ready: %v; its last lines:\n%s", h.name, d.isReady(h), d.lastLines(h, 1))
	}
	d.rec.note("served in the last %v before the final fault: %.2f; of the requests sent later than %v after the machines were back: %.2f", observedFor, before, recovery, after)
	if before < 0.25 || after >= 0.25 {
		return "", nil
	}
	return fmt.Sprintf("of the requests sent later than %v after the machines were back, %.2f were served, and %.2f before the final fault", recovery, after, before), nil
}

// addRoutes adds routes to the plain service.
func addRoutes(config map[string]any, n int) {
	base := route(config, "r-stock")
	for i := range routesAtOnce {
		r := maps.Clone(base)
		r["name"] = fmt.Sprintf("r-%07x", n*routesAtOnce+i)
		r[names["prefix"]] = fmt.Sprintf("/p%07x/", n*routesAtOnce+i)
		config["routes"] = append(config["routes"].([]any), r)
	}
}

// plainClient sends a request each second until stop is closed. It keeps the addresses that
// it got last while it can't get new ones.
func (d *deployment) plainClient(n int, stop <-chan struct{}, done func(s sent)) {
	c := newClient()
	var known []string
	for k := n; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(500+rand.IntN(1000)) * time.Millisecond):
		}
		for _, i := range rand.Perm(len(d.hosts))[:3] {
			if fronts := d.resolve(d.hosts[i], zoneOf(n)); len(fronts) > 0 {
				known = fronts
				break
			}
		}
		if len(known) == 0 {
			continue
		}
		front := known[rand.IntN(len(known))]
		if k%3 == 0 {
			done(d.send(c, front, "GET", "/stock/2f", "key0", "", 1500*time.Millisecond, nil))
		} else {
			done(d.send(c, front, "POST", "/confirm/2f", "key0", "slot 7", 1500*time.Millisecond, nil))
		}
	}
}

// servedShare returns the share of the requests sent between two times that were served.
func servedShare(all []sent, from, to time.Time) float64 {
	asked, served := 0, 0
	for _, s := range all {
		if s.at.Before(from) || s.at.After(to) {
			continue
		}
		asked++
		if s.status == 200 && s.err == nil {
			served++
		}
	}
	return float64(served) / float64(max(asked, 1))
}
