package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"text/template"
	"time"
)

var entryTemplate = template.Must(template.New("entry").Parse(entryText))

// execution is one execution of a request by a replica.
type execution struct {
	id, replica, method, target, tenant, key, body, lastEvent string
	at                                                        time.Time
}

// replica is a stand-in for a replica: an engine if it has a kind, and a plain service otherwise.
type replica struct {
	world   *world
	ln      net.Listener
	mu      sync.Mutex
	ID      string
	Service string
	Address string
	Zone    string
	State   string
	Kind    string
	Slots   int
	Born    int64
	// Sequence counts the orders that have begun.
	Sequence     int
	From, Target int
	// answer, if set, answers a request that is run in place of the usual answer. It returns false for the usual one.
	answer func(r *replica, conn net.Conn, req *http.Request, body []byte) bool
	work   time.Duration
	events int
	gap    time.Duration
	conns  map[net.Conn]bool
}

func (w *world) newReplica(id, service, kind, zone string) *replica {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r := &replica{world: w, ln: ln, ID: id, Service: service, Kind: kind, Zone: zone, Address: ln.Addr().String(), State: "ready", Slots: 192, Born: time.Now().UnixMilli(), work: 5 * time.Millisecond, events: 30, gap: 10 * time.Millisecond, conns: map[net.Conn]bool{}}
	if w.onReplica != nil {
		w.onReplica(r)
	}
	go r.accept()
	r.publish()
	return r
}

func (r *replica) publish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out bytes.Buffer
	check(entryTemplate.Execute(&out, r))
	r.world.store.put(names["servers"], r.ID, out.String())
}

func (r *replica) accept() {
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *replica) serve(conn net.Conn) {
	r.mu.Lock()
	r.conns[conn] = true
	r.mu.Unlock()
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !r.handle(conn, req, body) || req.Close {
			return
		}
	}
}

func reply(conn net.Conn, status int, header map[string]string, body string) bool {
	var out strings.Builder
	_, _ = fmt.Fprintf(&out, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	for k, v := range header {
		_, _ = fmt.Fprintf(&out, "%s: %s\r\n", k, v)
	}
	out.WriteString("\r\n" + body)
	_, err := io.WriteString(conn, out.String())
	return err == nil
}

// handle answers a request, and reports whether the connection may be kept.
func (r *replica) handle(conn net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get(names["id"])
	if e := req.Header.Get(names["expect"]); e != "" && e != r.ID {
		return reply(conn, 421, map[string]string{names["instance"]: r.ID}, "")
	}
	switch req.URL.Path {
	case "/health":
		return reply(conn, 200, map[string]string{names["instance"]: r.ID}, "")
	case names["report"]:
		r.mu.Lock()
		defer r.mu.Unlock()
		layers := ""
		if r.Target > 0 {
			layers = fmt.Sprintf(`,"layers":{"from":%d,"target":%d,"version":1}`, r.From, r.Target)
		}
		return reply(conn, 200, nil, fmt.Sprintf(`{"stage":"both","busy":false,"sequence":%d,"waiting":0,"running":0,"kv_used":0,"kv_total":8000000,"handles":0,"pace":1.0,"born":%d%s}`, r.Sequence, r.Born, layers))
	case names["order"]:
		return r.order(conn, body)
	}
	if id == "" {
		return reply(conn, 400, map[string]string{names["not_run"]: "1"}, "")
	}
	r.world.ran(execution{id: id, replica: r.ID, method: req.Method, target: req.RequestURI, tenant: req.Header.Get(names["tenant"]), key: req.Header.Get("Authorization"), body: string(body), lastEvent: req.Header.Get("Last-Event-Id"), at: time.Now()})
	if r.answer != nil && r.answer(r, conn, req, body) {
		return false
	}
	header := map[string]string{names["id"]: id, names["seal"]: "seal." + id}
	if r.Kind != "" {
		r.stream(conn, req, id, 0)
		return false
	}
	time.Sleep(r.work)
	return reply(conn, 200, header, "answer to "+id)
}

// stream writes the events of an answer. It breaks off after cut events if that is positive.
func (r *replica) stream(conn net.Conn, req *http.Request, id string, cut int) {
	first := 1
	if n, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n%s: seal.%s\r\n\r\n", names["id"], id, names["seal"], id); err != nil {
		return
	}
	for n := first; n <= r.events; n++ {
		if cut > 0 && n-first >= cut {
			return
		}
		piece := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			return
		}
		time.Sleep(r.gap)
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

func (r *replica) order(conn net.Conn, body []byte) bool {
	var in struct {
		Operation    string `json:"operation"`
		From, Target int
		Expect       *int
	}
	if json.Unmarshal(body, &in) != nil {
		return reply(conn, 400, nil, "")
	}
	if in.Operation != "place" {
		return reply(conn, 404, nil, "")
	}
	r.mu.Lock()
	if in.Expect != nil && *in.Expect != r.Sequence {
		r.mu.Unlock()
		return reply(conn, 409, nil, "{}")
	}
	r.Sequence++
	r.From, r.Target = in.From, in.Target
	r.mu.Unlock()
	r.publish()
	return reply(conn, 202, nil, "")
}

// exit ends the replica: it accepts no connections, and those that are open end. It returns the number of these.
func (r *replica) exit() int {
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
	return len(r.conns)
}
