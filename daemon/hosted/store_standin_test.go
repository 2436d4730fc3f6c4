package hosted_test

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
)

// store is a simple stand-in for the platform's store.
type store struct {
	server *httptest.Server

	mu sync.Mutex
	// era counts the histories of the store: each restore begins a new one.
	era int64
	// topics holds the records of each keyed topic, in order.
	topics map[string][]record
	// changed is closed and replaced on each change.
	changed chan struct{}
	// members holds the group members and their last heartbeats, in the order in
	// which they joined.
	members    []member
	generation int64
	// handsOver is set if a member is listed only once all that joined before it have sent a
	// heartbeat with a generation in which it was a member.
	handsOver bool
	// partitions is the number of partitions of each topic, which its first members own, or
	// 0 for no limit.
	partitions int
	// memberReads counts the reads of the group members.
	memberReads int
	down        bool
	// unreadable is a topic whose reads fail, or "".
	unreadable string
	// pageRecords is the largest number of records that a read returns, or 0 for no limit.
	pageRecords int
	// blockedFrom is the offset from which on reads of the configuration fail, or 0, and
	// blockedReads counts the reads that failed for it.
	blockedFrom, blockedReads int
	// waiting counts the reads that wait for changes, by the address of their
	// proxy.
	waiting map[string]int
}

// storeProxy connects one host to the store.
type storeProxy struct {
	server *httptest.Server

	mu sync.Mutex
	// unresponsive makes the proxy pass requests on to the store but never respond.
	unresponsive bool
	// timeouts holds the wait_ms parameter of each read, and longestConfigWait the longest
	// one of a read of the configuration, in ms.
	timeouts          []string
	longestConfigWait int
}

// newProxy starts another proxy to the store.
func (s *store) newProxy(t *testing.T) *storeProxy {
	d := &storeProxy{}
	d.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.recordPollTimeout(r.URL.Query().Get("topic"), r.URL.Query().Get("wait_ms"))
		recorded := httptest.NewRecorder()
		s.server.Config.Handler.ServeHTTP(recorded, r)
		d.mu.Lock()
		unresponsive := d.unresponsive
		d.mu.Unlock()
		if unresponsive {
			<-r.Context().Done()
			return
		}
		maps.Copy(w.Header(), recorded.Header())
		w.WriteHeader(recorded.Code)
		_, _ = w.Write(recorded.Body.Bytes())
	}))
	t.Cleanup(d.server.Close)
	return d
}

func (d *storeProxy) recordPollTimeout(topic, timeout string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ms, err := strconv.Atoi(timeout); err == nil && topic == "keyed.op" {
		d.longestConfigWait = max(d.longestConfigWait, ms)
	}
	if timeout != "" {
		d.timeouts = append(d.timeouts, timeout)
	}
}

// configWait returns the longest time for which a read of the configuration waited.
func (d *storeProxy) configWait() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.longestConfigWait) * time.Millisecond
}

// pollTimeouts returns the wait_ms parameter of each read.
func (d *storeProxy) pollTimeouts() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.timeouts)
}

func (d *storeProxy) address() string { return strings.TrimPrefix(d.server.URL, "http://") }

func (d *storeProxy) setUnresponsive(unresponsive bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsive = unresponsive
}

// waitingReads returns the number of reads that wait for changes, over all
// proxies.
func (s *store) waitingReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, reads := range s.waiting {
		n += reads
	}
	return n
}

// waitingReadsAt returns the number of reads that wait for changes through the
// proxy at an address.
func (s *store) waitingReadsAt(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting[address]
}

func (s *store) addWaiting(address string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[address] += n
}

type record struct{ key, value string }

type member struct {
	name          string
	lastHeartbeat time.Time
	ttl           time.Duration
	// joinedIn is the generation in which it joined, and knows the last one that it named.
	joinedIn, knows int64
	topics          []string
}

func newStore(t *testing.T) *store {
	s := &store{era: 1, topics: map[string][]record{}, changed: make(chan struct{}), waiting: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/log-newest", s.newest)
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("POST /api/log-join", s.join)
	mux.HandleFunc("POST /api/log-leave", s.leave)
	mux.HandleFunc("GET /api/log-owners", s.owners)
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down || s.unreadable != "" && r.URL.Query().Get("topic") == s.unreadable
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
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

// put appends a record of a key to a topic; a nil value deletes the key.
func (s *store) put(topic, key string, value any) {
	s.appendRecords(topic, newRecord(key, value))
}

func newRecord(key string, value any) record {
	if value == nil {
		return record{key: key}
	}
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return record{key: key, value: string(text)}
}

// storeCopy is a copy of what the store holds.
type storeCopy struct {
	topics     map[string][]record
	members    []member
	generation int64
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{topics: map[string][]record{}, members: slices.Clone(s.members), generation: s.generation}
	for name, records := range s.topics {
		c.topics[name] = slices.Clone(records)
	}
	return c
}

// put appends a record that is written after the restore, before any host reads.
func (c storeCopy) put(topic, key string, value any) {
	c.topics[topic] = append(c.topics[topic], newRecord(key, value))
}

// restore begins a new era with what a copy holds.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.topics, s.members, s.generation = c.topics, c.members, c.generation
	close(s.changed)
	s.changed = make(chan struct{})
}

// append serves an append.
func (s *store) append(_ http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var records []record
	for len(body) > 4 {
		size := int(binary.BigEndian.Uint32(body))
		rec := body[4 : 4+size]
		key := int(rec[0])
		records = append(records, record{key: string(rec[1 : 1+key]), value: string(rec[1+key:])})
		body = body[4+size:]
	}
	s.appendRecords(r.URL.Query().Get("topic"), records...)
}

// appendRecords appends records to a topic.
func (s *store) appendRecords(topic string, records ...record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// keys returns the keys of a topic that have a value.
func (s *store) keys(topic string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := map[string]string{}
	for _, r := range s.topics[topic] {
		values[r.key] = r.value
	}
	return slices.Collect(maps.Keys(lo.PickBy(values, func(_, value string) bool { return value != "" })))
}

// recordCount returns the number of records of a topic.
func (s *store) recordCount(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topics[topic])
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) setPartitions(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitions = n
}

func (s *store) setHandsOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handsOver = true
}

func (s *store) memberReadCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memberReads
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
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.addWaiting(r.Host, 1)
	defer s.addWaiting(r.Host, -1)
	for {
		s.mu.Lock()
		all := s.topics[q.Get("topic")]
		changed := s.changed
		s.mu.Unlock()
		if from > len(all) {
			w.WriteHeader(http.StatusGone)
			return
		}
		if s.blocks(q.Get("topic"), from) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(all) > from {
			writeRecords(w, s.page(all[from:]), len(all))
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

// page returns the records that a read returns of those that it may return.
func (s *store) page(all []record) []record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pageRecords > 0 {
		return all[:min(len(all), s.pageRecords)]
	}
	return all
}

// blocks reports whether a read fails as it begins at blockedFrom or later.
func (s *store) blocks(topic string, from int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.blockedFrom == 0 || topic != "keyed.op" || from < s.blockedFrom {
		return false
	}
	s.blockedReads++
	return true
}

// set changes how the store answers.
func (s *store) set(change func(s *store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// blockedReadCount returns the number of reads that failed for blockedFrom.
func (s *store) blockedReadCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blockedReads
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

type joinRequest struct {
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTLMS  int64    `json:"ttl_ms"`
	// Generation is the last one that the store has returned to the member.
	Generation int64 `json:"generation"`
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var in joinRequest
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	ttl := time.Duration(in.TTLMS) * time.Millisecond
	i := slices.IndexFunc(s.members, func(m member) bool { return m.name == in.Member })
	if i < 0 {
		i = len(s.members)
		s.members = append(s.members, member{name: in.Member})
		s.generation++
		s.members[i].joinedIn = s.generation
	}
	s.members[i].knows = in.Generation
	s.members[i].topics = in.Topics
	s.members[i].lastHeartbeat = now
	s.members[i].ttl = ttl
	parts := "[]"
	if i == 0 {
		parts = fmt.Sprintf(`[[%q,0,0]]`, in.Topics[0])
	}
	_, _ = fmt.Fprintf(w, `{"generation":%d,"ttl_ms":%d,"parts":%s}`, s.generation, in.TTLMS, parts)
}

// expire removes the members without a recent heartbeat. The caller holds s.mu.
func (s *store) expire(now time.Time) {
	before := len(s.members)
	s.members = slices.DeleteFunc(s.members, func(m member) bool { return now.Sub(m.lastHeartbeat) > m.ttl })
	if len(s.members) != before {
		s.generation++
	}
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var in joinRequest
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = slices.DeleteFunc(s.members, func(m member) bool { return m.name == in.Member })
	s.generation++
	_, _ = io.WriteString(w, "{}")
}

// ownsPartition reports whether a member owns a partition of one of its topics. The caller
// holds s.mu.
func (s *store) ownsPartition(i int) bool {
	return s.partitions == 0 || slices.ContainsFunc(s.members[i].topics, func(topic string) bool {
		earlier := lo.CountBy(s.members[:i], func(m member) bool { return slices.Contains(m.topics, topic) })
		return earlier < s.partitions
	})
}

func (s *store) owners(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memberReads++
	var rows []string
	for i, m := range s.members {
		waits := slices.ContainsFunc(s.members[:i], func(earlier member) bool { return earlier.knows < m.joinedIn })
		if s.handsOver && waits || !s.ownsPartition(i) {
			continue
		}
		rows = append(rows, fmt.Sprintf(`["hosts0",%d,%q,0]`, i, m.name))
	}
	_, _ = fmt.Fprintf(w, `{"generation":%d,"parts":[%s]}`, s.generation, strings.Join(rows, ","))
}
