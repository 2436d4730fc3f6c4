package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// starvedShare is the part of the share of all requests that are served below which a kind
// of request counts as starved.
const starvedShare = 0.25

// kindCount counts the requests of one kind.
type kindCount struct {
	sent, served int
	answers      []answer
}

func (k kindCount) share() float64 { return float64(k.served) / float64(max(k.sent, 1)) }

// playOddEntry lets another writer leave entries among those of the replicas, whose service
// no configuration names. The replicas that hold must be used as before.
func playOddEntry(sc *scene) (broken string, err error) {
	st, err := newStore(sc.rec)
	if err != nil {
		return "", err
	}
	ran := &runs{}
	var replicas []*plainReplica
	for i := range 3 {
		p, err := startPlainReplica(st, ran, "plain", fmt.Sprintf("i-plain%d", i), 5*time.Millisecond)
		if err != nil {
			return "", err
		}
		replicas = append(replicas, p)
	}
	if _, err := startPlainReplica(st, ran, "lookup", "i-lookup0", 5*time.Millisecond); err != nil {
		return "", err
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
	if sc.trouble {
		for i, p := range replicas {
			entry := map[string]any{
				"service": "node-agent", "address": p.address, "zone": "alajuela", "version": "v1", "slots": 1, "state": "ready", "sequence": 1,
				"born": time.Now().UnixMilli(),
			}
			st.putEntry(fmt.Sprintf("agent-%d", i), entry)
			sc.rec.logf("another writer leaves the entry agent-%d: %v", i, entry)
		}
		time.Sleep(3 * time.Second)
	}
	end := time.Now().Add(20 * time.Second)
	var all sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]*kindCount{}
	for kind, method := range map[string]string{"safe": http.MethodGet, "unsafe": http.MethodPost, "lookup": http.MethodGet} {
		count := &kindCount{}
		counts[kind] = count
		all.Go(func() {
			c := &client{address: h.address, key: "key-ana-1"}
			defer c.close()
			last := -1
			for time.Now().Before(end) {
				a := c.send(method, "/"+kind+"/x", "", 3*time.Second)
				mu.Lock()
				count.sent++
				count.answers = append(count.answers, a)
				if a.status == http.StatusOK && a.sealed {
					count.served++
				}
				mu.Unlock()
				if a.status != last {
					sc.rec.logf("%s: request %s answered %d %v", kind, a.id, a.status, a.err)
					last = a.status
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	all.Wait()
	var total kindCount
	for kind, count := range counts {
		sc.rec.logRequests("of the kind "+kind, count.answers, ran)
		sc.rec.logf("%s: %d sent, %d served", kind, count.sent, count.served)
		total.sent += count.sent
		total.served += count.served
	}
	if total.served == 0 {
		return "", errCannotRun
	}
	for kind, count := range counts {
		if count.share() < starvedShare*total.share() {
			broken = fmt.Sprintf("Starved: of the kind %s %d of %d requests were served, of all %d of %d", kind, count.served, count.sent, total.served, total.sent)
		}
	}
	return broken, nil
}
