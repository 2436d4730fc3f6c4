package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// partitions is the number of partitions of a topic.
const partitions = 24

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	topics  map[string][]entry
	changed chan struct{}
	// members are those of the one group, in the order in which they joined.
	members    []*member
	generation int64
	// conns are the open connections.
	conns map[*quietConn]bool
	// silent are the connections that have gone silent. They stay open.
	silent []*quietConn
}

type entry struct{ key, value string }

type member struct {
	name   string
	topics []string
	until  time.Time
}

func newStore() *store {
	return &store{topics: map[string][]entry{}, changed: make(chan struct{}), conns: map[*quietConn]bool{}}
}

// open starts a listener at which the store answers, and returns its address. Each host has its own.
func (s *store) open() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	address := ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc(names["newest"], s.newest)
	mux.HandleFunc(names["read"], s.read)
	mux.HandleFunc(names["append"], s.append)
	mux.HandleFunc(names["join"], s.join)
	mux.HandleFunc(names["leave"], s.leave)
	mux.HandleFunc(names["owners"], s.owners)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(quietListener{ln, s}) }()
	return address
}

// quietConn is a connection of the store that can go silent for good, without a reset.
type quietConn struct {
	net.Conn
	store  *store
	silent chan struct{}
}

type quietListener struct {
	net.Listener
	store *store
}

// Accept returns the next connection.
func (l quietListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	q := &quietConn{Conn: c, store: l.store, silent: make(chan struct{})}
	l.store.mu.Lock()
	l.store.conns[q] = true
	l.store.mu.Unlock()
	return q, nil
}

// Write drops the bytes of a silent connection.
func (c *quietConn) Write(p []byte) (int, error) {
	select {
	case <-c.silent:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Close keeps a silent connection open.
func (c *quietConn) Close() error {
	c.store.mu.Lock()
	delete(c.store.conns, c)
	c.store.mu.Unlock()
	select {
	case <-c.silent:
		return nil
	default:
		return c.Conn.Close()
	}
}

// silence makes all open connections go silent. New ones work. It returns their number.
func (s *store) silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.conns)
	for c := range s.conns {
		close(c.silent)
		delete(s.conns, c)
		s.silent = append(s.silent, c)
	}
	return n
}

// put appends a record. An empty value deletes the key.
func (s *store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], entry{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	for len(body) > 4 {
		size := int(binary.BigEndian.Uint32(body))
		rec := body[4 : 4+size]
		k := int(rec[0])
		s.put(topic, string(rec[1:1+k]), string(rec[1+k:]))
		body = body[4+size:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.topics[topic])
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end_offset":%d}`, n-1, n)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.topics[r.URL.Query().Get("topic")]
	last := map[string]int{}
	for i, e := range all {
		last[e.key] = i
	}
	var keys []string
	for k, i := range last {
		if all[i].value != "" {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	var items []string
	for _, k := range keys {
		v := base64.StdEncoding.EncodeToString([]byte(all[last[k]].value))
		items = append(items, fmt.Sprintf(`{"key":%q,"value":%q,"offset":%d}`, k, v, last[k]))
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, names["newest_page"], strings.Join(items, ","), false, len(all))
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
		if len(all) > from || wait == 0 {
			writeRecords(w, all[min(from, len(all)):], len(all))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w io.Writer, all []entry, end int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, e := range all {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(e.key)+len(e.value)))
		out = append(out, byte(len(e.key)))
		out = append(out, e.key+e.value...)
	}
	_, _ = w.Write(out)
}

// expire removes the members that have been silent for their time. The caller holds s.mu.
func (s *store) expire(now time.Time) {
	kept := s.members[:0]
	for _, m := range s.members {
		if now.Before(m.until) {
			kept = append(kept, m)
		}
	}
	if len(kept) != len(s.members) {
		s.generation++
	}
	s.members = kept
}

// owner returns the member that holds a partition of a topic, or nil. The caller holds s.mu.
func (s *store) owner(topic string, part int) *member {
	var all []*member
	for _, m := range s.members {
		for _, t := range m.topics {
			if t == topic {
				all = append(all, m)
			}
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[part%len(all)]
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTLMS  int64    `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	var me *member
	for _, m := range s.members {
		if m.name == in.Member {
			me = m
		}
	}
	if me == nil {
		me = &member{name: in.Member, topics: in.Topics}
		s.members = append(s.members, me)
		s.generation++
	}
	me.until = now.Add(time.Duration(in.TTLMS) * time.Millisecond)
	rows := []string{}
	for _, t := range in.Topics {
		for p := range partitions {
			if s.owner(t, p) == me {
				rows = append(rows, fmt.Sprintf("[%q,%d,0]", t, p))
			}
		}
	}
	_, _ = fmt.Fprintf(w, `{"generation":%d,"ttl_ms":%d,"parts":[%s]}`, s.generation, in.TTLMS, strings.Join(rows, ","))
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Member string `json:"member"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		if m.name == in.Member {
			m.until = time.Time{}
		}
	}
	s.expire(time.Now())
	_, _ = io.WriteString(w, "{}")
}

func (s *store) owners(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	topics := map[string]bool{}
	for _, m := range s.members {
		for _, t := range m.topics {
			topics[t] = true
		}
	}
	rows := []string{}
	for t := range topics {
		for p := range partitions {
			if m := s.owner(t, p); m != nil {
				rows = append(rows, fmt.Sprintf("[%q,%d,%q,0]", t, p, m.name))
			}
		}
	}
	_, _ = fmt.Fprintf(w, `{"generation":%d,"parts":[%s]}`, s.generation, strings.Join(rows, ","))
}
