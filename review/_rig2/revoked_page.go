package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// idleRoutes are the routes that a large configuration has beyond the others: those of
	// the site, and the largest number that its disruptions add.
	idleRoutes = 110 + 350
	// cutTime is the length of the cut, stormChanges and stormGap the changes at its
	// beginning.
	cutTime      = 12 * time.Second
	stormChanges = 12
	stormGap     = 330 * time.Millisecond
	// revokeTime is the bound after which a key that was taken away must not be accepted.
	revokeTime = 5 * time.Second
	// linkBytesPerSecond is the bandwidth of the host's link, 20 Mbit/s.
	linkBytesPerSecond = 20_000_000 / 8
)

// playRevokedPage cuts a host off while the configuration changes often and a key is taken
// away at last. No request with that key may run that is sent later than revokeTime after.
func playRevokedPage(sc *scene) (broken string, err error) {
	st, err := newStore(sc.rec)
	if err != nil {
		return "", err
	}
	ran := &runs{}
	for i := range 3 {
		if _, err := startPlainReplica(st, ran, "plain", fmt.Sprintf("i-plain%d", i), 5*time.Millisecond); err != nil {
			return "", err
		}
	}
	version := 1
	cfg := newConfig()
	put := func() time.Time {
		version += 2
		text := cfg.encode(version)
		at := st.put(names["configTopic"], "config", text)
		sc.rec.logf("operator: version %d acknowledged, %d bytes", version, len(text))
		return at
	}
	put()
	uplink, err := newLink(st.address, linkBytesPerSecond)
	if err != nil {
		return "", err
	}
	h, err := startHost(hostOptions{name: "edge-1", store: uplink.address, dir: sc.dir, machine: smallMachine})
	if err != nil {
		return "", err
	}
	defer h.stop()
	if err := h.awaitReady(15 * time.Second); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var revokedAnswers, otherAnswers []answer
	served := 0
	for n, key := range []string{"key-ana-1", "key-ben-1"} {
		clients.Go(func() {
			c := &client{address: h.address, key: key}
			defer c.close()
			last := -1
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				a := c.send(http.MethodGet, "/safe/x", "", 3*time.Second)
				if a.status != last {
					sc.rec.logf("client with %s: request %s answered %d %v", key, a.id, a.status, a.err)
					last = a.status
				}
				mu.Lock()
				switch {
				case n == 0:
					revokedAnswers = append(revokedAnswers, a)
				case a.status == http.StatusOK:
					served++
					fallthrough
				default:
					otherAnswers = append(otherAnswers, a)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	cfg.addIdleRoutes(idleRoutes)
	put()
	time.Sleep(2 * time.Second)
	if sc.trouble {
		uplink.setCut(true)
		sc.rec.logf("the host is cut off for %v", cutTime)
	}
	cutAt := time.Now()
	for range stormChanges {
		time.Sleep(stormGap)
		put()
	}
	cfg.removeKey("key-ana-1")
	revokedAt := put()
	sc.rec.logf("operator: key-ana-1 is taken away")
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	uplink.setCut(false)
	sc.rec.logf("the cut has ended")
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	counts := ran.byID()
	sc.rec.logRequests("with the key that is taken away", revokedAnswers, ran)
	sc.rec.logRequests("with the other key", otherAnswers, ran)
	late := 0
	for _, a := range revokedAnswers {
		if after := a.sentAt.Sub(revokedAt); after > revokeTime && counts[a.id] > 0 {
			late++
			sc.rec.logf("request %s with the revoked key was sent %.3f s after the acknowledgement and ran; answered %d", a.id, after.Seconds(), a.status)
		}
	}
	sc.rec.logf("requests with the other key that were served: %d", served)
	if served < 100 {
		return "", errCannotRun
	}
	if late > 0 {
		return fmt.Sprintf("CONFIG: %d requests with a key that was taken away more than %v before ran", late, revokeTime), nil
	}
	return "", nil
}
