package hosted_test

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// store is a small stand-in of the platform's store.
type store struct {
	server *httptest.Server

	mu sync.Mutex
	// topics hold the records of keyed topics, in order.
	topics map[string][]record
	// news is closed and made anew at each change.
	news chan struct{}
	// members hold when each member last joined, in order of their coming.
	members    []member
	generation int64
	// told counts the answers to which members there are.
	told int
	down bool
	// unreadable names a topic that can't be read; "" for none.
	unreadable string
	// waiting counts the reads that wait for news, by door.
	waiting map[string]int
}

// door is the way of one host to the store.
type door struct {
	server *httptest.Server

	mu sync.Mutex
	// silent ways let calls through, but no answers.
	silent bool
	// waits are how long the store was to hold each read, in ms.
	waits []string
}

// newDoor opens one more way to the store.
func (s *store) newDoor(t *testing.T) *door {
	d := &door{}
	d.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.read(r.URL.Query().Get("wait_ms"))
		held := httptest.NewRecorder()
		s.server.Config.Handler.ServeHTTP(held, r)
		d.mu.Lock()
		silent := d.silent
		d.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(held.Code)
		_, _ = w.Write(held.Body.Bytes())
	}))
	t.Cleanup(d.server.Close)
	return d
}

func (d *door) read(wait string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if wait != "" {
		d.waits = append(d.waits, wait)
	}
}

// reads returns how long the store was to hold each read, in ms.
func (d *door) reads() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.waits)
}

func (d *door) address() string { return strings.TrimPrefix(d.server.URL, "http://") }

func (d *door) silence(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
}

// waitingReads returns how many reads wait for news, over all doors.
func (s *store) waitingReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, reads := range s.waiting {
		n += reads
	}
	return n
}

// waitingAt returns how many reads wait for news at one of the store's addresses.
func (s *store) waitingAt(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting[address]
}

func (s *store) await(address string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[address] += n
}

type record struct{ key, value string }

type member struct {
	name string
	at   time.Time
	life time.Duration
}

func newStore(t *testing.T) *store {
	s := &store{topics: map[string][]record{}, news: make(chan struct{}), waiting: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/log-newest", s.newest)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("POST /api/log-join", s.join)
	mux.HandleFunc("POST /api/log-leave", s.leave)
	mux.HandleFunc("GET /api/log-owners", s.owners)
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down || s.unreadable != "" && r.URL.Query().Get("topic") == s.unreadable
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(s.server.Close)
	return s
}

// put writes the newest record of a key; nil ends it.
func (s *store) put(topic, key string, value any) {
	var text []byte
	if value != nil {
		var err error
		if text, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record{key: key, value: string(text)})
	close(s.news)
	s.news = make(chan struct{})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) toldMembers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told
}

func (s *store) setUnreadable(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreadable = topic
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
	end := time.After(time.Duration(wait) * time.Millisecond)
	s.await(r.Host, 1)
	defer s.await(r.Host, -1)
	for {
		s.mu.Lock()
		all := s.topics[q.Get("topic")]
		news := s.news
		s.mu.Unlock()
		if len(all) > from {
			writeRecords(w, all[from:])
			return
		}
		select {
		case <-news:
		case <-end:
			writeRecords(w, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w io.Writer, all []record) {
	out := append([]byte(nil), make([]byte, 16)...)
	for _, rec := range all {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(out, rec.key+rec.value...)
	}
	_, _ = w.Write(out)
}

type joining struct {
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTLMS  int64    `json:"ttl_ms"`
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var in joining
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	life := time.Duration(in.TTLMS) * time.Millisecond
	i := slices.IndexFunc(s.members, func(m member) bool { return m.name == in.Member })
	if i < 0 {
		i = len(s.members)
		s.members = append(s.members, member{name: in.Member})
		s.generation++
	}
	s.members[i].at = now
	s.members[i].life = life
	parts := "[]"
	if i == 0 {
		parts = fmt.Sprintf(`[[%q,0,0]]`, in.Topics[0])
	}
	_, _ = fmt.Fprintf(w, `{"generation":%d,"ttl_ms":%d,"parts":%s}`, s.generation, in.TTLMS, parts)
}

func (s *store) expire(now time.Time) {
	before := len(s.members)
	s.members = slices.DeleteFunc(s.members, func(m member) bool { return now.Sub(m.at) > m.life })
	if len(s.members) != before {
		s.generation++
	}
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var in joining
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = slices.DeleteFunc(s.members, func(m member) bool { return m.name == in.Member })
	s.generation++
	_, _ = io.WriteString(w, "{}")
}

func (s *store) owners(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told++
	var rows []string
	for i, m := range s.members {
		rows = append(rows, fmt.Sprintf(`["hosts0",%d,%q,0]`, i, m.name))
	}
	_, _ = fmt.Fprintf(w, `{"generation":%d,"parts":[%s]}`, s.generation, strings.Join(rows, ","))
}

// replicaStandIn is a small stand-in of a replica: an engine if it is given an
// accelerator, which lists what it is ordered to hold, and else a plain service.
type replicaStandIn struct {
	store  *store
	id     string
	kind   string
	server *httptest.Server

	mu     sync.Mutex
	orders []string
	keys   []string
	state  string
	// pause is the time between two events.
	pause time.Duration
}

func newReplica(t *testing.T, s *store, id, service, kind string) *replicaStandIn {
	r := &replicaStandIn{store: s, id: id, kind: kind, state: "ready", pause: time.Millisecond}
	r.server = httptest.NewServer(r)
	t.Cleanup(r.server.Close)
	r.list(service, 0, 0)
	return r
}

func (r *replicaStandIn) address() string { return strings.TrimPrefix(r.server.URL, "http://") }

func (r *replicaStandIn) list(service string, from, to int) {
	r.store.put("keyed.servers", r.id, map[string]any{
		"service": service, "address": r.address(), "zone": "a", "slots": 8, "state": r.state, "born": 1, "kind": r.kind,
		"layers": map[string]int{"from": from, "target": to, "version": 1},
	})
}

// leave lists the replica as draining.
func (r *replicaStandIn) leave(service string) {
	r.state = "draining"
	r.list(service, 0, 0)
}

// calls returns how many calls of the plain service it got.
func (r *replicaStandIn) calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.keys)
}

func (r *replicaStandIn) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Header.Get("X-Bulrushshed-Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case req.URL.Path == "/api/order":
		r.order(w, req)
	case req.URL.Path == "/api/report":
		_, _ = io.WriteString(w, `{"sequence":1,"pace":1,"kv_total":100}`)
	case req.Header.Get("X-Bulrushshed-Hop-Count") != "":
		r.stream(w, req)
	default:
		r.mu.Lock()
		r.keys = append(r.keys, req.Header.Get("Authorization")+req.Header.Get("X-Bulrushshed-Tenant"))
		r.mu.Unlock()
		r.sign(w, req)
		_, _ = io.WriteString(w, "stock")
	}
}

func (r *replicaStandIn) sign(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("X-Bulrushshed-Server-Seal", r.id)
	w.Header().Set("X-Bulrushshed-Attempt-Id", req.Header.Get("X-Bulrushshed-Attempt-Id"))
}

func (r *replicaStandIn) order(w http.ResponseWriter, req *http.Request) {
	var in struct {
		From   int `json:"from"`
		Target int `json:"target"`
	}
	text, _ := io.ReadAll(req.Body)
	_ = json.Unmarshal(text, &in)
	r.mu.Lock()
	r.orders = append(r.orders, string(text))
	r.mu.Unlock()
	w.WriteHeader(http.StatusAccepted)
	r.list("model", in.From, in.Target)
}

func (r *replicaStandIn) stream(w http.ResponseWriter, req *http.Request) {
	r.sign(w, req)
	for id := 1; id <= 20; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: t\n\n", id)
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		time.Sleep(r.pause)
	}
}

func (r *replicaStandIn) ordered() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.orders)
}
