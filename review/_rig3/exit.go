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
	var requests []sentRequest
	began := time.Now()
	for i, h := range w.hosts {
		wg.Go(func() {
			for round := range rounds {
				time.Sleep(time.Until(began.Add(time.Duration(round*rolledHosts+i) * gap)))
				stopped := make(chan struct{})
				var clients sync.WaitGroup
				for n := range idleClients {
					clients.Go(func() {
						sent := h.useTwice(fmt.Sprintf("%s-%d-%d", h.name, round, n), stopped)
						mu.Lock()
						defer mu.Unlock()
						requests = append(requests, sent...)
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
	w.noteRequests(requests)
	w.note("%d stops, %d of them ended in a crash", stops, crashes)
	if crashes > 0 {
		w.noteCrash()
	}
	return crashes > 0
}

// sentRequest is a request of a client with its answer.
type sentRequest struct {
	id     string
	at     time.Time
	answer answer
}

// useTwice sends a request on a new connection, and another one on the same some time after the stop.
func (h *host) useTwice(id string, stopped <-chan struct{}) (sent []sentRequest) {
	c, err := dial(h.front)
	if err != nil {
		return nil
	}
	defer func() { _ = c.Close() }()
	first := sentRequest{id: id, at: time.Now()}
	first.answer = c.do("POST", "/look/"+id, id, "key-ana", "x", 1000)
	<-stopped
	if first.answer.err != nil || first.answer.close {
		return []sentRequest{first}
	}
	time.Sleep(soonest + rand.N(latest-soonest))
	second := sentRequest{id: id + "b", at: time.Now()}
	second.answer = c.do("POST", "/look/"+id, second.id, "key-ana", "x", 1000)
	return []sentRequest{first, second}
}

// noteRequests records what was sent, answered and run.
func (w *world) noteRequests(all []sentRequest) {
	w.mu.Lock()
	runs := w.runs
	w.mu.Unlock()
	status := map[int]int{}
	for _, r := range all {
		ran := ""
		for _, e := range runs[r.id] {
			ran += fmt.Sprintf(" run by %s at %.3f", e.replica, e.at.Sub(w.t0).Seconds())
		}
		w.note("request %s sent at %.3f: status %d, error %v;%s", r.id, r.at.Sub(w.t0).Seconds(), r.answer.status, r.answer.err, ran)
		status[r.answer.status]++
	}
	w.note("answers by status, 0 for a connection that ended: %v", status)
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
