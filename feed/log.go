package feed

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// maxRecentBytes bounds the total size of the values of a topic's recent
// changes. A follower that is further behind gets a snapshot instead.
const maxRecentBytes = 512 << 10

// Log holds what this host has read of some topics. It is safe for concurrent
// use.
type Log struct {
	host  string
	clock func() time.Duration

	mu             sync.Mutex
	topics         map[string]*topic
	members        Members
	storeReachedAt time.Duration
	// era is the newest era of the store that this host has seen.
	era int64
}

type topic struct {
	// direct is set while this host reads the topic from the store itself.
	direct bool
	newest map[string]Change
	// skipped holds the offsets of the newest changes that this host cannot hold, by key.
	// Followers with more memory read them from the store.
	skipped map[string]int64
	// recent holds the latest changes in order, complete from offset recentFrom
	// on.
	recent      []Change
	recentSize  int
	recentFrom  int64
	next        Position
	currentAsOf time.Duration
	// compressed caches the page from one position up to next, since most
	// followers ask from the same position.
	compressed compressedPage
	// changed is closed and replaced whenever one of the fields above changes.
	changed chan struct{}
}

// compressedPage is an encoded and compressed page. tooLarge is set if it
// exceeds the size limits for relaying.
type compressedPage struct {
	from, next Position
	bytes      []byte
	tooLarge   bool
}

// NewLog returns an empty log for a host. The clock must also count the time
// during which the machine was suspended.
func NewLog(host string, clock func() time.Duration) *Log {
	return &Log{host: host, clock: clock, topics: map[string]*topic{}}
}

// Put adds what was read of a topic up to p.Next. snapshot is set if p contains
// the newest change of every key.
func (l *Log) Put(name string, p Page, snapshot bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	if snapshot {
		t.newest = map[string]Change{}
		t.skipped = map[string]int64{}
		t.recent = nil
		t.recentSize = 0
		t.recentFrom = p.Next
	}
	for _, c := range p.Changes {
		t.put(c, !snapshot)
	}
	t.putSkipped(p)
	t.next = p.End()
	l.era = max(l.era, p.Era)
	t.notify()
}

// ObserveEra records the era of an answer of the store. Topics that were read in an older
// one are not current any more.
func (l *Log) ObserveEra(era int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if era <= l.era {
		return
	}
	l.era = era
	for _, t := range l.topics {
		t.notify()
	}
}

// putSkipped records the skipped changes of a page, unless the page also has a newer
// change of the key.
func (t *topic) putSkipped(p Page) {
	for _, c := range p.Changes {
		if c.Offset > t.skipped[c.Key] {
			delete(t.skipped, c.Key)
		}
	}
	for _, s := range p.Skipped {
		newer := slices.ContainsFunc(p.Changes, func(c Change) bool { return c.Key == s.Key && c.Offset > s.Offset })
		if !newer {
			t.skipped[s.Key] = s.Offset
		}
	}
}

// lacksSince reports whether this host has skipped a change from a position on.
func (t *topic) lacksSince(next Position, snapshot bool) bool {
	for _, offset := range t.skipped {
		if snapshot || offset >= next.Offset {
			return true
		}
	}
	return false
}

// put stores a change as the newest of its key and, if addToRecent is set, as
// the last of the recent changes.
func (t *topic) put(c Change, addToRecent bool) {
	t.newest[c.Key] = c
	if len(c.Value) == 0 {
		delete(t.newest, c.Key)
	}
	if !addToRecent {
		return
	}
	t.recent = append(t.recent, c)
	t.recentSize += len(c.Value)
	for len(t.recent) > 0 && t.recentSize > maxRecentBytes {
		t.recentSize -= len(t.recent[0].Value)
		t.recentFrom = t.recent[0].Offset + 1
		t.recent = t.recent[1:]
	}
}

// MarkCurrent records that all changes of a topic up to a time are known.
// direct is set if this was learned from the store itself.
func (l *Log) MarkCurrent(name string, at time.Duration, direct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.direct = direct
	t.currentAsOf = max(t.currentAsOf, at)
	if direct {
		l.storeReachedAt = max(l.storeReachedAt, at)
	}
	t.notify()
}

// MarkPartial records that the store answered a read that was sent at the given time with
// some of the changes of a topic that it had. The topic is as current as before.
func (l *Log) MarkPartial(name string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.direct = true
	l.storeReachedAt = max(l.storeReachedAt, at)
	t.notify()
}

// MarkUnavailable records that this host currently cannot read a topic from the
// store.
func (l *Log) MarkUnavailable(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.direct = false
	t.notify()
}

// MarkStoreReached records that the store answered a call sent at the given
// time.
func (l *Log) MarkStoreReached(at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeReachedAt = max(l.storeReachedAt, at)
}

// SetMembers replaces the group members if m is of a newer generation, or has more of them.
func (l *Log) SetMembers(m Members) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !m.Supersedes(l.members.At(), len(l.members.Names)) {
		return
	}
	l.members = m
	for _, t := range l.topics {
		t.notify()
	}
}

func (l *Log) topic(name string) *topic {
	t, ok := l.topics[name]
	if !ok {
		t = &topic{newest: map[string]Change{}, skipped: map[string]int64{}, changed: make(chan struct{})}
		l.topics[name] = t
	}
	return t
}

func (t *topic) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Answer returns the response to a follower's request. It waits for changes,
// but not longer than r.Wait, nor past the time at which the response becomes
// unusable.
func (l *Log) Answer(ctx context.Context, r Request) Response {
	wait := time.NewTimer(r.Wait)
	defer wait.Stop()
	for {
		resp, changed, maxWait := l.currentResponse(r)
		if changed == nil || maxWait <= 0 {
			return resp
		}
		expiry := time.NewTimer(maxWait)
		select {
		case <-changed:
			expiry.Stop()
			continue
		case <-expiry.C:
		case <-wait.C:
		case <-ctx.Done():
		}
		expiry.Stop()
		resp, _, _ = l.currentResponse(r)
		return resp
	}
}

// currentResponse returns the response as of now. If it contains nothing new
// for the follower, changed is a channel that is closed on the next change, and
// maxWait is how long to wait for that at most.
func (l *Log) currentResponse(r Request) (resp Response, changed <-chan struct{}, maxWait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	resp = Response{Host: l.host, KnowsEras: true, Now: l.clock(), StoreReachedAt: l.storeReachedAt, Page: Page{Next: -1}}
	t := l.topic(r.Topic)
	if !t.direct || t.next.Era < l.era {
		return resp, t.changed, r.readerWait()
	}
	resp.Direct = true
	if l.members.Supersedes(r.members(l.members.Era), r.memberCount(len(l.members.Names))) {
		known := l.members
		resp.Members = &known
	}
	resp.CurrentAsOf = t.currentAsOf
	next := r.position(t.next.Era)
	t.fill(&resp, next)
	if resp.Members != nil || t.next.Compare(next) > 0 || t.currentAsOf > r.CurrentAsOf {
		return resp, nil, 0
	}
	return resp, t.changed, l.storeReachedAt + StoreReachTTL - resp.Now
}

// readerWait returns how long to wait for this host to start reading the topic
// from the store.
func (r Request) readerWait() time.Duration {
	switch {
	case r.WaitForReader:
		return r.Wait
	case r.CurrentAsOf == 0:
		return readerStartGrace
	}
	return 0
}

// fill adds the changes from a position on to a response.
func (t *topic) fill(resp *Response, next Position) {
	p, snapshot := t.pageFrom(next)
	resp.Page.Era = p.Era
	resp.Page.Next = p.Next
	resp.Snapshot = snapshot
	if t.lacksSince(next, snapshot) {
		resp.Fetch = true
		return
	}
	if p.size() <= maxPlainBytes {
		resp.Page = p
		return
	}
	if t.compressed.from != next || t.compressed.next != t.next || t.compressed.bytes == nil {
		t.compressed = compressedPage{from: next, next: t.next}
		if p.size() <= maxCompressInput {
			// On an error, followers fetch the page from the store instead.
			t.compressed.bytes, _ = p.compress()
		}
		t.compressed.tooLarge = len(t.compressed.bytes) == 0 || len(t.compressed.bytes) > maxRelayBytes
	}
	if t.compressed.tooLarge {
		resp.Fetch = true
		return
	}
	resp.Compressed = t.compressed.bytes
}

// pageFrom returns the changes from a position on, or a snapshot if some of them
// are no longer held or the position is of an older era.
func (t *topic) pageFrom(next Position) (p Page, snapshot bool) {
	p.Era = t.next.Era
	p.Next = t.next.Offset
	if next.Era >= t.next.Era && next.Offset >= t.recentFrom {
		i, _ := slices.BinarySearchFunc(t.recent, next.Offset, func(c Change, offset int64) int { return cmp.Compare(c.Offset, offset) })
		p.Changes = slices.Clone(t.recent[i:])
		return p, false
	}
	p.Changes = slices.Collect(maps.Values(t.newest))
	slices.SortFunc(p.Changes, func(a, b Change) int { return cmp.Compare(a.Offset, b.Offset) })
	return p, true
}
