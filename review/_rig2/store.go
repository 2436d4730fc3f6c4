package main

import (
	_ "embed"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

//go:embed names.json
var namesText []byte

// names has the names of the platform's protocol.
var names = func() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(namesText, &out); err != nil {
		panic(err)
	}
	return out
}()

type storedRecord struct{ key, value string }

// store is a stand-in for the platform's store: a log with keyed topics and one group.
type store struct {
	rec     *recorder
	address string

	mu      sync.Mutex
	topics  map[string][]storedRecord
	changed chan struct{}
	// members has the members in the order in which they joined.
	members    []storeMember
	generation int64
}

type storeMember struct {
	name   string
	topics []string
	seen   time.Time
	ttl    time.Duration
}

func newStore(rec *recorder) (*store, error) {
	s := &store{rec: rec, topics: map[string][]storedRecord{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc(names["append"], s.append)
	mux.HandleFunc(names["read"], s.read)
	mux.HandleFunc(names["newest"], s.newest)
	mux.HandleFunc(names["join"], s.join)
	mux.HandleFunc(names["leave"], s.leave)
	mux.HandleFunc(names["owners"], s.owners)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = ln.Addr().String()
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

// put appends a record and returns when the store has acknowledged it.
func (s *store) put(topic, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storedRecord{key, string(value)})
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	topic := r.URL.Query().Get("topic")
	first := s.end(topic)
	for len(body) > 4 {
		size := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+size]
		key := int(content[0])
		s.put(topic, string(content[1:1+key]), content[1+key:])
		body = body[4+size:]
	}
	fmt.Fprintf(w, `{"offset":%d,"end_offset":%d}`, first, s.end(topic))
}

func (s *store) end(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topics[topic])
}

// read answers as soon as a record is available, with at most max_kb of records.
func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		all, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if len(all) > from {
			n := writeRecords(w, all, from, maxKB<<10)
			if topic == names["configTopic"] {
				s.rec.logf("store: read of the configuration from %d answered with %d records, end %d", from, n, len(all))
			}
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeRecords(w, all, from, 0)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, all []storedRecord, from, limit int) (n int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
	out = binary.BigEndian.AppendUint64(out, 0)
	size := 0
	for i := from; i < len(all); i++ {
		rec := all[i]
		content := 1 + len(rec.key) + len(rec.value)
		if size += 4 + content; size > limit && n > 0 {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(content))
		out = append(out, byte(len(rec.key)))
		out = append(out, rec.key...)
		out = append(out, rec.value...)
		n++
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out)
	return n
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.topics[r.URL.Query().Get("topic")]
	newest := map[string]int{}
	for i, rec := range all {
		newest[rec.key] = i
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for key, i := range newest {
		if all[i].value != "" {
			items = append(items, item{key, base64.StdEncoding.EncodeToString([]byte(all[i].value)), i})
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, names["hasMore"]: false, "end_offset": len(all)})
}

type joinRequest struct {
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTLMS  int64    `json:"ttl_ms"`
}

// expire removes the members whose time has passed. The caller holds s.mu.
func (s *store) expire(now time.Time) {
	var kept []storeMember
	for _, m := range s.members {
		if now.Sub(m.seen) <= m.ttl {
			kept = append(kept, m)
		}
	}
	if len(kept) != len(s.members) {
		s.members = kept
		s.generation++
	}
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var in joinRequest
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	index := -1
	for i, m := range s.members {
		if m.name == in.Member {
			index = i
		}
	}
	if index < 0 {
		index = len(s.members)
		s.members = append(s.members, storeMember{name: in.Member})
		s.generation++
	}
	s.members[index] = storeMember{in.Member, in.Topics, now, time.Duration(in.TTLMS) * time.Millisecond}
	parts := [][]any{}
	if index == 0 && len(in.Topics) > 0 {
		parts = append(parts, []any{in.Topics[0], 0, 0})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"generation": s.generation, "ttl_ms": in.TTLMS, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var in joinRequest
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []storeMember
	for _, m := range s.members {
		if m.name != in.Member {
			kept = append(kept, m)
		}
	}
	s.members = kept
	s.generation++
	_, _ = io.WriteString(w, "{}")
}

func (s *store) owners(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	parts := [][]any{}
	for i, m := range s.members {
		parts = append(parts, []any{m.topics[0], i, m.name, 0})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"generation": s.generation, "parts": parts})
}
