package main

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

func init() { scenarios["drain"] = drain }

const (
	// drainBound is drain_ms, and stableAfter stability_window_ms.
	drainBound  = 2 * time.Second
	stableAfter = 3 * time.Second
	// clientsPerHost is the number of clients of each host.
	clientsPerHost = 6
)

// drain removes the entry of a replica while the open connections of all hosts to the store are silent. The
// replica serves on, and then exits.
func drain(w *world, trouble bool) bool {
	w.publish()
	zones := []string{"a", "b", "c"}
	var all []*replica
	for i, z := range zones {
		r := w.newReplica(fmt.Sprintf("p%d", i), "app", z)
		r.work = 60 * time.Millisecond
		all = append(all, r)
	}
	for _, z := range zones {
		w.newHost("h"+z, z)
	}
	w.awaitAll()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	sent := map[string]time.Time{}
	hostOf := map[string]string{}
	answered := map[string]answer{}
	var mu sync.Mutex
	for _, h := range w.hosts {
		for n := range clientsPerHost {
			wg.Go(func() {
				var c *conn
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(30 * time.Millisecond):
					}
					if c == nil {
						var err error
						if c, err = dial(h.front); err != nil {
							c = nil
							continue
						}
					}
					id := fmt.Sprintf("%s-%d-%d", h.name, n, i)
					mu.Lock()
					sent[id], hostOf[id] = time.Now(), h.name
					mu.Unlock()
					a := c.do("POST", "/book/"+id, id, "key-ana", "book", 3000)
					mu.Lock()
					answered[id] = a
					mu.Unlock()
					if a.err != nil || a.close {
						_ = c.Close()
						c = nil
					}
				}
			})
		}
	}
	time.Sleep(8 * time.Second)
	// A change of another entry, as of a replica that becomes warm: the hosts begin to wait for the next change after it.
	all[0].Slots--
	all[0].publish()
	time.Sleep(time.Second)
	silentAt := time.Now()
	if trouble {
		w.note("%d open connections to the store go silent", w.store.silence())
	}
	time.Sleep(200 * time.Millisecond)
	gone := all[1]
	w.store.put(names["servers"], gone.ID, "")
	removedAt := time.Now()
	w.note("entry of %s removed and acknowledged", gone.ID)
	time.Sleep(4 * time.Second)
	w.note("%s exits, %d requests are running there", gone.ID, gone.exit())
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()

	late, lost := 0, 0
	w.mu.Lock()
	runs := w.runs
	w.mu.Unlock()
	for _, id := range slices.SortedFunc(maps.Keys(sent), func(a, b string) int { return sent[a].Compare(sent[b]) }) {
		ran := ""
		for _, r := range runs[id] {
			ran += fmt.Sprintf(" run by %s at %.3f", r.replica, r.at.Sub(w.t0).Seconds())
		}
		a := answered[id]
		w.note("request %s sent at %.3f to host %s: status %d, error %v;%s", id, sent[id].Sub(w.t0).Seconds(), hostOf[id], a.status, a.err, ran)
	}
	last := time.Time{}
	for id, rs := range runs {
		for _, r := range rs {
			if r.replica != gone.ID {
				continue
			}
			if r.at.After(last) {
				last = r.at
			}
			inTouch := !sent[id].Before(silentAt.Add(stableAfter))
			if r.at.Sub(removedAt) > drainBound && inTouch {
				late++
				w.note("DRAIN: request %s, sent to host %s %.3f s after the silence, reaches %s %.3f s after the acknowledgement; answer: status %d, error %v",
					id, hostOf[id], sent[id].Sub(silentAt).Seconds(), gone.ID, r.at.Sub(removedAt).Seconds(), answered[id].status, answered[id].err)
				if answered[id].status != 200 {
					lost++
				}
			}
		}
	}
	w.note("last request at %s %.3f s after the acknowledgement; %d requests in all; %d late, %d of these not answered with success",
		gone.ID, last.Sub(removedAt).Seconds(), len(sent), late, lost)
	return late > 0
}
