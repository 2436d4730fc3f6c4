package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a replica has run.
type run struct {
	id, tenant, replica string
	at                  time.Time
}

// runs has all runs.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

// byID returns how often each request has run.
func (r *runs) byID() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for _, one := range r.all {
		out[one.id]++
	}
	return out
}

// replicas returns, for each request, the replicas that have run it.
func (r *runs) replicas() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]string{}
	for _, one := range r.all {
		out[one.id] = append(out[one.id], one.replica)
	}
	return out
}

// plainReplica is a sound replica of a plain service.
type plainReplica struct {
	id, address, service string
	runs                 *runs
	work                 time.Duration
	// failing is the share of the requests that fail in the middle of their work with a 503
	// of the replica's own, in thousandths.
	failing atomic.Int64
}

// bornAt is the start of all replicas, in Unix milliseconds.
const bornAt = 1_700_000_000_000

func startPlainReplica(s *store, r *runs, service, id string, work time.Duration) (*plainReplica, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &plainReplica{id: id, address: ln.Addr().String(), service: service, runs: r, work: work}
	go func() { _ = http.Serve(ln, p) }()
	p.publish(s, "ready", 1)
	return p, nil
}

// publish writes the replica's entry.
func (p *plainReplica) publish(s *store, state string, sequence int) {
	s.putEntry(p.id, map[string]any{
		"service": p.service, "address": p.address, "zone": "alajuela", "version": "v1", "slots": 6, "state": state, "sequence": sequence, "born": bornAt,
	})
}

// putEntry writes an entry of the list of replicas.
func (s *store) putEntry(id string, entry map[string]any) {
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	s.put(names["replicaTopic"], id, text)
}

// ServeHTTP runs a request.
func (p *plainReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(names["id"])
	w.Header().Set(names["id"], id)
	if expected := r.Header.Get(names["expect"]); expected != "" && expected != p.id {
		w.Header().Set(names["notRun"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.runs.add(run{id: id, tenant: r.Header.Get(names["tenant"]), replica: p.id, at: time.Now()})
	time.Sleep(p.work)
	w.Header().Set(names["seal"], p.id)
	if rand.Int64N(1000) < p.failing.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintf(w, "failed %s", id)
		return
	}
	fmt.Fprintf(w, "done %s", id)
}
