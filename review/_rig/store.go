package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"bulrushshed/platform"
)

// storedRecord is a record of a keyed topic; one without a value drops its key.
type storedRecord struct {
	key   string
	value []byte
}

// groupMember is a member of the one group, in the order of joining.
type groupMember struct {
	name string
	last time.Time
	ttl  time.Duration
}

// partitionsPerTopic is the number of partitions of a group topic.
const partitionsPerTopic = 24

// store stands in for the platform's store. It loses nothing and answers linearizably.
type store struct {
	mu         sync.Mutex
	topics     map[string][]storedRecord
	changed    chan struct{}
	members    []groupMember
	generation int64
	mux        *http.ServeMux
}

func newStore() *store {
	s := &store{topics: map[string][]storedRecord{}, changed: make(chan struct{}), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET "+names["newest"], s.newest)
	s.mux.HandleFunc("GET "+names["read"], s.read)
	s.mux.HandleFunc("POST "+names["append"], s.append)
	s.mux.HandleFunc("POST "+names["join"], s.join)
	s.mux.HandleFunc("POST "+names["leave"], s.leave)
	s.mux.HandleFunc("GET "+names["owners"], s.owners)
	return s
}

// put appends one record. Its return is the store's acknowledgement.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storedRecord{key, value})
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.topics[r.URL.Query().Get("topic")]
	last := map[string]int{}
	for i, rec := range all {
		last[rec.key] = i
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for i, rec := range all {
		if last[rec.key] == i && len(rec.value) > 0 {
			items = append(items, item{rec.key, base64.StdEncoding.EncodeToString(rec.value), i})
		}
	}
	text, _ := json.Marshal(items)
	// The name of the flag that more pages follow is part of the protocol; there are none.
	fmt.Fprintf(w, `{"items":%s,"end_offset":%d}`, text, len(all))
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

func writeRecords(w io.Writer, all []storedRecord, end int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, rec := range all {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(append(out, rec.key...), rec.value...)
	}
	_, _ = w.Write(out)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	if topic == platform.TopicConfig || topic == platform.TopicReplicas {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topics[topic])
	for len(body) > 4 {
		size := int(binary.BigEndian.Uint32(body))
		rec := body[4 : 4+size]
		n := int(rec[0])
		s.topics[topic] = append(s.topics[topic], storedRecord{string(rec[1 : 1+n]), slices.Clone(rec[1+n:])})
		body = body[4+size:]
	}
	s.notify()
	fmt.Fprintf(w, `{"offset":%d,"end_offset":%d}`, first, len(s.topics[topic]))
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
	now := time.Now()
	s.expire(now)
	i := slices.IndexFunc(s.members, func(m groupMember) bool { return m.name == in.Member })
	if i < 0 {
		i = len(s.members)
		s.members = append(s.members, groupMember{name: in.Member})
		s.generation++
	}
	s.members[i].last, s.members[i].ttl = now, time.Duration(in.TTLMS)*time.Millisecond
	rows := [][]any{}
	for t, topic := range in.Topics {
		for p := range partitionsPerTopic {
			if (t*partitionsPerTopic+p)%len(s.members) == i {
				rows = append(rows, []any{topic, p, 0})
			}
		}
	}
	text, _ := json.Marshal(rows)
	fmt.Fprintf(w, `{"generation":%d,"ttl_ms":%d,"parts":%s}`, s.generation, in.TTLMS, text)
}

// expire removes the members without a recent join. The caller holds s.mu.
func (s *store) expire(now time.Time) {
	before := len(s.members)
	s.members = slices.DeleteFunc(s.members, func(m groupMember) bool { return now.Sub(m.last) > m.ttl })
	if len(s.members) != before {
		s.generation++
	}
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Member string `json:"member"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = slices.DeleteFunc(s.members, func(m groupMember) bool { return m.name == in.Member })
	s.generation++
	_, _ = io.WriteString(w, "{}")
}

func (s *store) owners(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	rows := [][]any{}
	for i, m := range s.members {
		rows = append(rows, []any{"hosts", i, m.name, 0})
	}
	text, _ := json.Marshal(rows)
	fmt.Fprintf(w, `{"generation":%d,"parts":%s}`, s.generation, text)
}
