package main

import (
	"bytes"
	"fmt"
	"sync"
	"text/template"
	"time"
)

func init() { scenarios["foreign"] = foreign }

// heartbeat is heartbeat_ms.
const heartbeat = 1200 * time.Millisecond

var foreignTemplate = template.Must(template.New("foreign").Parse(foreignText))

// beat writes the entry of a replica anew at each heartbeat until stop is closed.
func (r *replica) beat(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
			r.mu.Lock()
			r.Sequence++
			r.mu.Unlock()
			r.publish()
		}
	}
}

// foreign lets another writer write an entry with missing fields under the id of a replica, just after the replica
// has written its own.
func foreign(w *world, trouble bool) bool {
	w.config.Routes = []route{{"book", "unsafe", "app", 3000, 2, false}, {"pay", "unsafe", "pay", 3000, 2, false}}
	w.publish()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var apps []*replica
	for i, z := range []string{"a", "b", "c"} {
		apps = append(apps, w.newReplica(fmt.Sprintf("app%d", i), "app", z))
		wg.Go(func() { apps[i].beat(stop) })
		p := w.newReplica(fmt.Sprintf("pay%d", i), "pay", z)
		p.work = 60 * time.Millisecond
		wg.Go(func() { p.beat(stop) })
	}
	for _, z := range []string{"a", "b", "c"} {
		w.newHost("h"+z, z)
	}
	w.awaitAll()
	var mu sync.Mutex
	answered := map[string]answer{}
	var order []string
	for _, h := range w.hosts {
		for n, name := range []string{"book", "pay", "pay", "pay"} {
			wg.Go(func() {
				var c *conn
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(40 * time.Millisecond):
					}
					if c == nil {
						var err error
						if c, err = dial(h.front); err != nil {
							c = nil
							continue
						}
					}
					id := fmt.Sprintf("%s-%s-%d-%d", name, h.name, n, i)
					a := c.do("POST", "/"+name+"/"+id, id, "key-ana", name, 3000)
					mu.Lock()
					answered[id] = a
					order = append(order, id)
					mu.Unlock()
					if a.err != nil || a.close {
						_ = c.Close()
						c = nil
					}
				}
			})
		}
	}
	for range 4 {
		time.Sleep(2 * time.Second)
		if !trouble {
			continue
		}
		var out bytes.Buffer
		check(foreignTemplate.Execute(&out, map[string]string{"Service": "pay", "Address": apps[0].Address, "Zone": "a"}))
		w.store.put(names["servers"], apps[0].ID, out.String())
		w.note("another writer writes under %s: %s", apps[0].ID, bytes.TrimSpace(out.Bytes()))
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	wrong := 0
	for _, id := range order {
		a := answered[id]
		for _, r := range w.runs[id] {
			w.note("request %s: run by %s at %.3f; answer: status %d, error %v", id, r.replica, r.at.Sub(w.t0).Seconds(), a.status, a.err)
			if id[:3] != r.replica[:3] && !(id[:4] == "book" && r.replica[:3] == "app") {
				wrong++
				w.note("ROUTE: request %s of the route to the service pay is run by %s of the service app", id, r.replica)
			}
		}
	}
	w.note("%d requests; %d run by a service to which no configuration allows them to go", len(order), wrong)
	return wrong > 0
}
