package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// failTime is how long a replica fails requests, and failShare the share of them, in
	// thousandths.
	failTime  = 6500 * time.Millisecond
	failShare = 450
	// failCallers send requests that may run once, each failInterval.
	failCallers  = 16
	failInterval = 30 * time.Millisecond
)

// isPromise reports whether a status tells that a request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// playOwnFailure lets one of three replicas fail a part of its requests, after it has begun to
// work on them, with a 503 that does not say that they were not run. No request that has run
// may be answered as not run.
func playOwnFailure(sc *scene) (broken string, err error) {
	st, err := newStore(sc.rec)
	if err != nil {
		return "", err
	}
	ran := &runs{}
	var replicas []*plainReplica
	for i := range 3 {
		p, err := startPlainReplica(st, ran, "plain", fmt.Sprintf("i-plain%d", i), 60*time.Millisecond)
		if err != nil {
			return "", err
		}
		replicas = append(replicas, p)
	}
	st.put(names["configTopic"], "config", newConfig().encode(7))
	h, err := startHost(hostOptions{name: "edge-1", store: st.address, dir: sc.dir, machine: mediumMachine})
	if err != nil {
		return "", err
	}
	defer h.stop()
	if err := h.awaitReady(15 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	end := time.Now().Add(20 * time.Second)
	var all sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	// again has, by the first attempt, the second one of a booking that was refused.
	again := map[string]string{}
	for range failCallers {
		all.Go(func() {
			c := &client{address: h.address, key: "key-ana-1"}
			defer c.close()
			for time.Now().Before(end) {
				a := c.send(http.MethodPost, "/unsafe/book", "one truck", 3*time.Second)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				if isPromise(a.status) {
					// The client may try once more, on a new connection.
					c.close()
					second := c.send(http.MethodPost, "/unsafe/book", "one truck", 3*time.Second)
					mu.Lock()
					answers = append(answers, second)
					again[a.id] = second.id
					mu.Unlock()
				}
				time.Sleep(failInterval)
			}
		})
	}
	time.Sleep(5 * time.Second)
	if sc.trouble {
		replicas[0].failing.Store(failShare)
		sc.rec.logf("replica %s fails %d of 1000 requests, after it has begun to work on them, with 503 and without %s", replicas[0].id, failShare, names["notRun"])
	}
	time.Sleep(failTime)
	replicas[0].failing.Store(0)
	sc.rec.logf("no replica fails any more")
	all.Wait()
	counts := ran.byID()
	served, refused := 0, 0
	for _, a := range answers {
		switch {
		case a.status == http.StatusOK && a.sealed:
			served++
		case isPromise(a.status) && counts[a.id] > 0:
			refused++
			sc.rec.logf("request %s, which may run once: answered %d (with a seal: %t), has run %d times", a.id, a.status, a.sealed, counts[a.id])
		default:
			sc.rec.logf("request %s: answered %d %v, has run %d times", a.id, a.status, a.err, counts[a.id])
		}
	}
	twice := 0
	for first, second := range again {
		if counts[first] > 0 && counts[second] > 0 {
			twice++
			sc.rec.logf("booking of request %s has run, and once more as request %s", first, second)
		}
	}
	sc.rec.logRequests("that may run once", answers, ran)
	sc.rec.logf("requests that may run once: %d sent, %d served, %d answered as not run although they have run; bookings that have run twice: %d", len(answers), served, refused, twice)
	if served < len(answers)/4 {
		return "", errCannotRun
	}
	if refused > 0 {
		return fmt.Sprintf("REFUSED: %d of %d requests that may run once were answered as not run and have run; %d bookings ran twice", refused, len(answers), twice), nil
	}
	return "", nil
}
