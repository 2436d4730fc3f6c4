package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"text/template"
	"time"
)

var entryTemplate = template.Must(template.New("entry").Parse(entryText))

// execution is one execution of a request by a replica.
type execution struct {
	id, replica, method, target, tenant, key, body string
	at                                             time.Time
}

// replica is a stand-in for a replica of a plain service.
type replica struct {
	world    *world
	ln       net.Listener
	mu       sync.Mutex
	ID       string
	Service  string
	Address  string
	Zone     string
	State    string
	Slots    int
	Born     int64
	Sequence int
	work     time.Duration
	conns    map[net.Conn]bool
}

func (w *world) newReplica(id, service, zone string) *replica {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r := &replica{world: w, ln: ln, ID: id, Service: service, Zone: zone, Address: ln.Addr().String(), State: "ready", Slots: 192, Born: time.Now().UnixMilli(), work: 5 * time.Millisecond, conns: map[net.Conn]bool{}}
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
	if req.URL.Path == "/health" {
		return reply(conn, 200, map[string]string{names["instance"]: r.ID}, "")
	}
	if id == "" {
		return reply(conn, 400, map[string]string{names["not_run"]: "1"}, "")
	}
	r.world.ran(execution{id: id, replica: r.ID, method: req.Method, target: req.RequestURI, tenant: req.Header.Get(names["tenant"]), key: req.Header.Get("Authorization"), body: string(body), at: time.Now()})
	header := map[string]string{names["id"]: id, names["seal"]: "seal." + id}
	time.Sleep(r.work)
	return reply(conn, 200, header, "answer to "+id)
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
