package overload_test

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// bodyLimit is the published limit of a request's body.
const bodyLimit = 4194304

// apiKey is the key of the only customer.
const apiKey = "k1"

// configuration returns a configuration with published limits, a rule for a plain service
// and one for an engine that streams.
func configuration() map[string]any {
	rule := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 30000,
			"target_latency_ms": 500, "service": service, "max_attempts": 2, "stream_resume": kind == "streaming",
		}
	}
	return map[string]any{
		"version": 1,
		"limits": map[string]int{
			"max_header_bytes": 16384, "max_body_bytes": bodyLimit, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"routes": []any{rule("draft", "streaming", "model"), rule("stock", "safe", "plain")},
		"services": []any{
			map[string]any{"name": "plain"},
			map[string]any{"name": "model", "engine": map[string]any{
				"kv_token_bytes": 1000, "step_ms": 1, "layers": 8, "layer_mb": 100,
				"kinds": []any{map[string]any{"name": "k", "size_mb": 10000, "pace": 1, "read_factor": 1}},
			}},
		},
		"tenants": []any{map[string]any{"name": "ana", "api_keys": []string{apiKey}}},
	}
}

// startPlatform starts a store with the configuration, an engine and a plain service.
func startPlatform(t *testing.T) *store {
	s := newStore(t)
	s.put("keyed.op", "config", configuration())
	newReplica(t, s, "e0", "model", "k")
	newReplica(t, s, "p0", "plain", "")
	return s
}

// store is a stand-in for the platform's store.
type store struct {
	address string

	mu sync.Mutex
	// topics holds the records of each keyed topic, in order.
	topics map[string][]record
	// changed is closed and replaced on each change.
	changed chan struct{}
	// member is the only member of the group, or "".
	member string
}

type record struct{ key, value string }

func newStore(t *testing.T) *store {
	s := &store{topics: map[string][]record{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/log-newest", s.newest)
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("POST /api/log-join", s.join)
	mux.HandleFunc("POST /api/log-leave", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") })
	mux.HandleFunc("GET /api/log-owners", s.owners)
	s.address = serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	}))
	return s
}

// serve serves a handler until the end of the test, and returns its address.
func serve(t *testing.T, h http.Handler) (address string) {
	server := httptest.NewUnstartedServer(h)
	server.Listener = smallBufferListener{server.Listener}
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// smallBufferListener limits the send buffers of the connections that it accepts, so that
// the kernel holds little of the streams that nobody reads.
type smallBufferListener struct{ net.Listener }

// Accept waits for the next connection and returns it.
func (l smallBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetWriteBuffer(64 << 10)
	}
	return conn, err
}

// put appends a record of a key to a topic.
func (s *store) put(topic, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.add(topic, record{key: key, value: string(text)})
}

func (s *store) add(topic string, records ...record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) append(_ http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	for len(body) > 4 {
		size := int(binary.BigEndian.Uint32(body))
		rec := body[4 : 4+size]
		key := int(rec[0])
		s.add(r.URL.Query().Get("topic"), record{key: string(rec[1 : 1+key]), value: string(rec[1+key:])})
		body = body[4+size:]
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.topics[r.URL.Query().Get("topic")]
	newest := map[string]int{}
	for i, rec := range all {
		newest[rec.key] = i
	}
	var items []string
	for key, i := range newest {
		value := base64.StdEncoding.EncodeToString([]byte(all[i].value))
		items = append(items, fmt.Sprintf(`{"key":%q,"value":%q,"offset":%d}`, key, value, i))
	}
	_, _ = fmt.Fprintf(w, `{"items":[%s],"has_more":false,"end_offset":%d}`, strings.Join(items, ","), len(all))
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		all, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if len(all) > from {
			writeRecords(w, all[from:], len(all))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeRecords(w, nil, len(all))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeRecords writes records of a topic with the given end offset.
func writeRecords(w io.Writer, all []record, end int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range all {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(out, rec.key+rec.value...)
	}
	_, _ = w.Write(out)
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTLMS  int64    `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.member = in.Member
	_, _ = fmt.Fprintf(w, `{"generation":1,"ttl_ms":%d,"parts":[[%q,0,0]]}`, in.TTLMS, in.Topics[0])
}

func (s *store) owners(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.member == "" {
		_, _ = io.WriteString(w, `{"generation":0,"parts":[]}`)
		return
	}
	_, _ = fmt.Fprintf(w, `{"generation":1,"parts":[["hosts0",0,%q,0]]}`, s.member)
}

const (
	// answerBytes is the size of a large plain answer, and eventBytes that of an event.
	// Both are nearly as large as a host accepts, 256 KiB.
	answerBytes = 255 << 10
	eventBytes  = 250 << 10
	// streamEvents is the number of events of a stream.
	streamEvents = 40
)

// filler is the content of large answers and events.
var filler = bytes.Repeat([]byte("x"), answerBytes)

// replica is a stand-in for a replica: an engine if it has a kind of accelerator, and
// otherwise a plain service.
type replica struct {
	store   *store
	id      string
	service string
	kind    string
	address string

	mu sync.Mutex
	// orders counts the orders.
	orders int
}

func newReplica(t *testing.T, s *store, id, service, kind string) {
	r := &replica{store: s, id: id, service: service, kind: kind}
	r.address = serve(t, r)
	r.publish(0, 0)
}

// publish lists the replica with the layers that it holds.
func (r *replica) publish(from, to int) {
	r.store.put("keyed.servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": "a", "slots": 1000, "state": "ready", "born": 1, "kind": r.kind,
		"layers": map[string]int{"from": from, "target": to, "version": 1},
	})
}

// ServeHTTP answers requests, orders and reads of the engine's report.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Header.Get("X-Bulrushshed-Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Bulrushshed-Server-Seal", r.id)
	w.Header().Set("X-Bulrushshed-Attempt-Id", req.Header.Get("X-Bulrushshed-Attempt-Id"))
	switch {
	case req.URL.Path == "/api/order":
		r.order(w, req)
	case req.URL.Path == "/api/report":
		r.mu.Lock()
		defer r.mu.Unlock()
		_, _ = fmt.Fprintf(w, `{"sequence":%d,"pace":1,"kv_total":1000000}`, r.orders)
	case req.Header.Get("X-Bulrushshed-Hop-Count") != "":
		for id := 1; id <= streamEvents && req.Context().Err() == nil; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, filler[:eventBytes])
		}
	case strings.Contains(req.URL.Path, "/endless/"):
		r.answerWithoutEnd(w, req.URL.Path)
	default:
		_, _ = io.Copy(io.Discard, req.Body)
		if strings.HasSuffix(req.URL.Path, "/large") {
			_, _ = w.Write(filler)
			return
		}
		_, _ = io.WriteString(w, "stock")
	}
}

// endlessAnswers has, by the last part of a path, how an answer without end begins and what it
// repeats.
var endlessAnswers = map[string]struct{ start, repeated string }{
	"line":   {"HTTP/1.1 200 OK\r\nX: ", "x"},
	"fields": {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
	"none":   {"", "\x00"},
	"body":   {"HTTP/1.1 200 OK\r\nX-Bulrushshed-Server-Seal: s\r\n\r\n", "x"},
	"chunk":  {"HTTP/1.1 200 OK\r\nX-Bulrushshed-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n", "x"},
}

// answerWithoutEnd sends bytes until the connection is closed.
func (r *replica) answerWithoutEnd(w http.ResponseWriter, path string) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	a := endlessAnswers[path[strings.LastIndexByte(path, '/')+1:]]
	_, err = io.WriteString(conn, a.start)
	for block := strings.Repeat(a.repeated, 4096); err == nil; {
		_, err = io.WriteString(conn, block)
	}
}

func (r *replica) order(w http.ResponseWriter, req *http.Request) {
	var in struct{ From, Target int }
	_ = json.NewDecoder(req.Body).Decode(&in)
	r.mu.Lock()
	r.orders++
	r.mu.Unlock()
	w.WriteHeader(http.StatusAccepted)
	r.publish(in.From, in.Target)
}
