package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["exit"] = exit }

const (
	// rolledHosts is the number of hosts that are stopped and started in turn, and gap the time between two stops.
	rolledHosts = 8
	gap         = time.Second
	// rounds is how often each host is stopped.
	rounds = 12
	// settleTime is the time in which clients connect before their host is stopped.
	settleTime = 700 * time.Millisecond
	// idleClients is the number of clients of each host that have an idle connection when it is stopped. Each uses
	// it again, once, between soonest and latest after that.
	idleClients = 300
	soonest     = 1500 * time.Millisecond
	latest      = 3 * time.Second
)

// exit stops and starts hosts in turn by SIGTERM, while clients use the connections that they have open.
func exit(w *world, trouble bool) bool {
	w.publish()
	zones := []string{"a", "b", "c"}
	for i, z := range zones {
		w.newReplica(fmt.Sprintf("p%d", i), "app", z)
	}
	for i := range rolledHosts {
		w.newHost(fmt.Sprintf("h%d", i), zones[i%len(zones)])
	}
	w.awaitAll()
	// Processes are started by this goroutine, which is bound to the main thread.
	starts := make(chan func())
	var wg sync.WaitGroup
	var mu sync.Mutex
	stops, crashes := 0, 0
	status := map[int]int{}
	began := time.Now()
	for i, h := range w.hosts {
		wg.Go(func() {
			for round := range rounds {
				time.Sleep(time.Until(began.Add(time.Duration(round*rolledHosts+i) * gap)))
				stopped := make(chan struct{})
				var clients sync.WaitGroup
				for n := range idleClients {
					clients.Go(func() {
						for _, code := range h.useTwice(fmt.Sprintf("%s-%d-%d", h.name, round, n), stopped) {
							mu.Lock()
							status[code]++
							mu.Unlock()
						}
					})
				}
				time.Sleep(settleTime)
				close(stopped)
				if trouble {
					h.signal(syscall.SIGTERM)
					<-h.exited
					mu.Lock()
					stops++
					if !h.cmd.ProcessState.Success() {
						crashes++
						w.note("FAULT: host %s, stopped by SIGTERM, ended with %v", h.name, h.cmd.ProcessState)
					}
					mu.Unlock()
					started := make(chan struct{})
					starts <- func() {
						h.start()
						close(started)
					}
					<-started
				}
				clients.Wait()
				if !h.await(10 * time.Second) {
					w.note("host %s is not ready", h.name)
					return
				}
			}
		})
	}
	go func() {
		wg.Wait()
		close(starts)
	}()
	for start := range starts {
		start()
	}
	w.note("answers by status, 0 for a connection that ended: %v", status)
	w.note("%d stops, %d of them ended in a crash", stops, crashes)
	if crashes > 0 {
		w.noteCrash()
	}
	return crashes > 0
}

// useTwice sends a request on a new connection, and another one on the same some time after the stop. It returns
// the statuses.
func (h *host) useTwice(id string, stopped <-chan struct{}) (statuses []int) {
	c, err := dial(h.front)
	if err != nil {
		return nil
	}
	defer func() { _ = c.Close() }()
	a := c.do("POST", "/look/"+id, id, "key-ana", "x", 1000)
	<-stopped
	statuses = []int{a.status}
	if a.err != nil || a.close {
		return statuses
	}
	time.Sleep(soonest + rand.N(latest-soonest))
	a = c.do("POST", "/look/"+id, id+"b", "key-ana", "x", 1000)
	return append(statuses, a.status)
}

// noteCrash records the first lines that a host has written as it crashed.
func (w *world) noteCrash() {
	for _, h := range w.hosts {
		text, err := os.ReadFile(filepath.Join(w.dir, h.name+".log"))
		if err != nil {
			continue
		}
		if _, trace, ok := strings.Cut(string(text), "panic: "); ok {
			w.note("host %s wrote: panic: %.600s", h.name, trace)
			return
		}
	}
}
