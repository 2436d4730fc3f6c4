package main

import (
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["stress"] = stress }

func stress(w *world, trouble bool) bool {
	w.publish()
	zones := []string{"a", "b", "c"}
	var all []*replica
	for i := range 3 {
		all = append(all, w.newReplica(fmt.Sprintf("p%d", i), "app", "", zones[i]))
		all = append(all, w.newReplica(fmt.Sprintf("e%d", i), "model", "l4", zones[i]))
		all = append(all, w.newReplica(fmt.Sprintf("f%d", i), "model", "l4", zones[i]))
	}
	for i := range 3 {
		w.newHost("h"+zones[i], zones[i])
	}
	w.awaitAll()
	time.Sleep(3 * time.Second)
	var bad atomic.Int64
	var served, failed [600]atomic.Int64
	var wg sync.WaitGroup
	stop := make(chan struct{})
	client := func(n int) {
		defer wg.Done()
		rnd := rand.New(rand.NewSource(int64(n)))
		var c *conn
		var h *host
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			if c == nil {
				h = w.hosts[rnd.Intn(len(w.hosts))]
				var err error
				if c, err = dial(h.front); err != nil {
					c = nil
					time.Sleep(20 * time.Millisecond)
					continue
				}
			}
			id := fmt.Sprintf("r%d-%d", n, i)
			kind := rnd.Intn(3)
			target := [...]string{"/book/", "/look/", "/draft/"}[kind] + id + "?q=" + id
			body := strings.Repeat(id+" ", rnd.Intn(20))
			if rnd.Intn(20) == 0 {
				body = strings.Repeat(id+" ", 20000)
			}
			if rnd.Intn(15) == 0 {
				// The client leaves.
				_, _ = c.Write([]byte(request("POST", target, id, "key-ana", body, 3000)))
				time.Sleep(time.Duration(rnd.Intn(40)) * time.Millisecond)
				_ = c.Close()
				c = nil
				continue
			}
			key, ten := "key-ana", "ana"
			if n%2 == 0 {
				key, ten = "key-bea", "bea"
			}
			a := c.do("POST", target, id, key, body, 3000, names["tokens"]+": 30,30", names["parts"]+": 1a:10,"+fmt.Sprintf("%x:20", rnd.Intn(1000)))
			if a.err != nil {
				failed[0].Add(1)
				_ = c.Close()
				c = nil
			} else {
				served[a.status].Add(1)
				want := "answer to " + id
				if kind == 2 {
					want = ""
					for e := 1; e <= 30; e++ {
						want += fmt.Sprintf("id: %d\ndata: %s-%d\n\n", e, id, e)
					}
				}
				if a.status == 200 && (a.id != id || a.seal != "seal."+id || a.body != want) {
					bad.Add(1)
					w.note("MIXED %s host %s status %d id %q seal %q body %q", id, h.name, a.status, a.id, a.seal, a.body)
				}
				w.mu.Lock()
				runs := append([]execution(nil), w.runs[id]...)
				w.mu.Unlock()
				for _, r := range runs {
					if r.tenant != ten || r.key != "" || r.body != body || r.target != target {
						bad.Add(1)
						w.note("UNASKED %s host %s %+v", id, h.name, r)
					}
				}
				if kind == 0 && len(runs) > 1 {
					bad.Add(1)
					w.note("TWICE %s", id)
				}
				if kind != 1 && (a.status == 503 || a.status == 429) && len(runs) > 0 {
					bad.Add(1)
					w.note("REFUSED %s host %s %+v", id, h.name, a)
				}
				if a.close {
					_ = c.Close()
					c = nil
				}
			}
		}
	}
	for n := range 60 {
		wg.Add(1)
		go client(n)
	}
	if trouble {
		rnd := rand.New(rand.NewSource(time.Now().UnixNano()))
		for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
			h := w.hosts[rnd.Intn(3)]
			switch rnd.Intn(7) {
			case 0:
				h.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(rnd.Intn(4000)) * time.Millisecond)
				h.signal(syscall.SIGCONT)
			case 1:
				h.signal(syscall.SIGTERM)
				time.Sleep(2 * time.Second)
				<-h.exited
				h.start()
				h.await(5 * time.Second)
			case 2:
				h.signal(syscall.SIGKILL)
				<-h.exited
				h.start()
				h.await(5 * time.Second)
			case 3:
				w.store.setDown(h.door, true)
				time.Sleep(time.Duration(rnd.Intn(3000)) * time.Millisecond)
				w.store.setDown(h.door, false)
			case 4:
				w.publish()
			case 6:
				w.note("silence %d", w.store.silence())
				time.Sleep(2 * time.Second)
			case 5:
				r := all[rnd.Intn(len(all))]
				r.State = "draining"
				r.publish()
				time.Sleep(2 * time.Second)
				w.store.put(names["servers"], r.ID, "")
				time.Sleep(time.Second)
				r.State = "ready"
				r.publish()
			}
			time.Sleep(time.Duration(rnd.Intn(1500)) * time.Millisecond)
		}
	} else {
		time.Sleep(20 * time.Second)
	}
	close(stop)
	wg.Wait()
	for i := range served {
		if n := served[i].Load(); n > 0 {
			w.note("status %d: %d", i, n)
		}
	}
	w.note("broken connections: %d", failed[0].Load())
	return bad.Load() > 0
}
