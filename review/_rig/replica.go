package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"bulrushshed/platform"
)

// replicaStandIn stands in for a replica: an engine if it has a kind of accelerator, and
// one of a plain service otherwise.
type replicaStandIn struct {
	d             *deployment
	id, address   string
	service, zone string
	kind          string
	born          int64
	// work is how long a plain request takes. A stream has its first event after the time
	// reading, and each of its other events after another gap.
	work    time.Duration
	reading time.Duration
	events  int
	gap     time.Duration
	// serve replaces the plain answer if set.
	serve func(w http.ResponseWriter, req *http.Request)

	mu       sync.Mutex
	state    string
	from, to int
	sequence int64
	orders   int64
	fence    int64
	busy     bool
	// dead is set while the replica is down; server accepts its connections.
	dead   bool
	server *http.Server
	runs   []run
}

// run is one execution of a request.
type run struct {
	id     string
	tenant string
	method string
	target string
	at     time.Time
}

func newReplica(d *deployment, service, kind, zone string) (*replicaStandIn, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replicaStandIn{
		d: d, id: fmt.Sprintf("i-%08x", rand.Uint32()), address: ln.Addr().String(), service: service, zone: zone, kind: kind,
		born: time.Now().UnixMilli(), work: 60 * time.Millisecond, reading: 45 * time.Millisecond, events: 73, gap: 20 * time.Millisecond, state: "ready",
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(ln) }()
	r.publish()
	go r.beat()
	return r, nil
}

// beat publishes the entry at each heartbeat.
func (r *replicaStandIn) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if !r.isDead() {
				r.publish()
			}
		case <-r.d.ctx.Done():
			return
		}
	}
}

func (r *replicaStandIn) isDead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dead
}

// publish writes the entry of the replica.
func (r *replicaStandIn) publish() {
	r.mu.Lock()
	r.sequence++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 6, "state": r.state, "sequence": r.sequence, "born": r.born,
	}
	if r.kind != "" {
		entry["kind"], entry["slots"] = r.kind, 192
		entry["layers"] = map[string]int{"from": r.from, "target": r.to, "version": 1}
	}
	r.mu.Unlock()
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	r.d.store.put(platform.TopicReplicas, r.id, text)
}

// ServeHTTP answers a request as PROTOCOL.md says.
func (r *replicaStandIn) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if expect := req.Header.Get(names["expect"]); expect != "" && expect != r.id {
		w.Header().Set(names["instance"], r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case req.URL.Path == names["order"]:
		r.order(w, req)
	case req.URL.Path == names["report"]:
		r.report(w)
	case req.URL.Path == "/health":
		w.Header().Set(names["instance"], r.id)
	case req.Header.Get(names["attempt"]) == "":
		w.Header().Set(names["not_run"], "1")
		w.WriteHeader(http.StatusBadRequest)
	default:
		_, _ = io.Copy(io.Discard, req.Body)
		r.record(req)
		switch {
		case r.kind != "":
			r.stream(w, req)
		case r.serve != nil:
			r.serve(w, req)
		default:
			time.Sleep(r.work)
			r.seal(w, req)
			_, _ = io.WriteString(w, "{\"done\":\""+req.Header.Get(names["attempt"])+"\"}")
		}
	}
}

// record notes that a request runs.
func (r *replicaStandIn) record(req *http.Request) {
	x := run{
		id: req.Header.Get(names["attempt"]), tenant: req.Header.Get(names["tenant"]), method: req.Method, target: req.RequestURI, at: time.Now(),
	}
	if r.kind == "" {
		r.d.rec.note("replica %s (%s) runs %s %s %s for tenant %q", r.id, r.service, x.method, x.target, x.id, x.tenant)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, x)
}

// allRuns returns all executions of requests by replicas.
func allRuns(groups ...[]*replicaStandIn) (all []run) {
	for _, r := range slices.Concat(groups...) {
		r.mu.Lock()
		all = append(all, r.runs...)
		r.mu.Unlock()
	}
	return all
}

// seal sets the header fields of an answer.
func (r *replicaStandIn) seal(w http.ResponseWriter, req *http.Request) {
	w.Header().Set(names["attempt"], req.Header.Get(names["attempt"]))
	w.Header().Set(names["seal"], r.id+"."+req.Header.Get(names["attempt"]))
}

// stream answers with the events of a stream.
func (r *replicaStandIn) stream(w http.ResponseWriter, req *http.Request) {
	r.seal(w, req)
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last := req.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	pause := r.reading
	for id := first; id <= r.events; id++ {
		select {
		case <-time.After(pause):
		case <-req.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", id, id, req.Header.Get(names["attempt"]))
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		pause = r.gap
	}
}

// order accepts an order to hold layers, which it carries out at once.
func (r *replicaStandIn) order(w http.ResponseWriter, req *http.Request) {
	var in struct {
		Operation    string `json:"operation"`
		From, Target int
		Fence        int64
		Expect       *int64
	}
	text, _ := io.ReadAll(req.Body)
	_ = json.Unmarshal(text, &in)
	r.mu.Lock()
	status := http.StatusAccepted
	switch {
	case in.Operation != "place":
		status = http.StatusNotFound
	case in.Fence < r.fence:
		status = http.StatusPreconditionFailed
	case in.Expect != nil && *in.Expect != r.orders:
		status = http.StatusConflict
	default:
		r.fence, r.from, r.to = in.Fence, in.From, in.Target
		r.orders++
	}
	r.mu.Unlock()
	r.d.rec.note("engine %s gets order %s: %d", r.id, text, status)
	w.WriteHeader(status)
	if status == http.StatusAccepted {
		r.publish()
	}
}

// report answers with the state of the engine.
func (r *replicaStandIn) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text, _ := json.Marshal(map[string]any{
		"stage": "both", "busy": r.busy, "sequence": r.orders, "pace": 1.0, "kv_used": 1000, "kv_total": 1000000, "born": r.born,
		"layers": map[string]int{"from": r.from, "target": r.to, "version": 1},
	})
	_, _ = w.Write(text)
}
