package feed

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// recentBytes bounds the values of the last changes of a topic; who lacks more of
// them gets the newest value of each key.
const recentBytes = 512 << 10

// Log is what this host has read of some topics. It is safe for concurrent use.
type Log struct {
	host  string
	clock func() time.Duration

	mu      sync.Mutex
	topics  map[string]*topic
	members Members
	reached time.Duration
}

type topic struct {
	// direct is set while this host reads the topic in the store itself.
	direct bool
	newest map[string]Change
	// recent are the last changes, in order; none is missing from offset
	// since on.
	recent []Change
	size   int
	since  int64
	next   int64
	proved time.Duration
	// packed is the news from one offset up to next, as most askers need it.
	packed packed
	// news is closed at each change of the above.
	news chan struct{}
}

// packed is a page in few bytes; tooLarge is set if there are too many of them.
type packed struct {
	from, next int64
	bytes      []byte
	tooLarge   bool
}

// NewLog returns an empty log of a host, by a clock that also counts the time that
// the machine was suspended.
func NewLog(host string, clock func() time.Duration) *Log {
	return &Log{host: host, clock: clock, topics: map[string]*topic{}}
}

// Put takes what was read of a topic up to p.Next; whole is set if p has the newest
// change of each key.
func (l *Log) Put(name string, p Page, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	if whole {
		t.newest = map[string]Change{}
		t.recent = nil
		t.size = 0
		t.since = p.Next
	}
	for _, c := range p.Changes {
		t.put(c, !whole)
	}
	t.next = p.Next
	t.wake()
}

func (t *topic) put(c Change, recent bool) {
	t.newest[c.Key] = c
	if len(c.Value) == 0 {
		delete(t.newest, c.Key)
	}
	if !recent {
		return
	}
	t.recent = append(t.recent, c)
	t.size += len(c.Value)
	for len(t.recent) > 0 && t.size > recentBytes {
		t.size -= len(t.recent[0].Value)
		t.since = t.recent[0].Offset + 1
		t.recent = t.recent[1:]
	}
}

// Prove notes that all news of a topic at a time is known; direct is set if the
// store said so itself.
func (l *Log) Prove(name string, at time.Duration, direct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.direct = direct
	t.proved = max(t.proved, at)
	if direct {
		l.reached = max(l.reached, at)
	}
	t.wake()
}

// Lose notes that this host can't read a topic at present.
func (l *Log) Lose(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.direct = false
	t.wake()
}

// Reach notes that the store answered a call that was sent at a time.
func (l *Log) Reach(at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reached = max(l.reached, at)
}

// Meet takes the members of the group, if they are newer than those known.
func (l *Log) Meet(m Members) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Generation <= l.members.Generation {
		return
	}
	l.members = m
	for _, t := range l.topics {
		t.wake()
	}
}

func (l *Log) topic(name string) *topic {
	t, ok := l.topics[name]
	if !ok {
		t = &topic{newest: map[string]Change{}, news: make(chan struct{})}
		l.topics[name] = t
	}
	return t
}

func (t *topic) wake() {
	close(t.news)
	t.news = make(chan struct{})
}

// Answer answers another host. It waits for news, but neither beyond a.Wait nor
// beyond the time for which the answer is of use.
func (l *Log) Answer(ctx context.Context, a Request) Response {
	wait := time.NewTimer(a.Wait)
	defer wait.Stop()
	for {
		answer, news, left := l.look(a)
		if news == nil || left <= 0 {
			return answer
		}
		term := time.NewTimer(left)
		select {
		case <-news:
			term.Stop()
			continue
		case <-term.C:
		case <-wait.C:
		case <-ctx.Done():
		}
		term.Stop()
		answer, _, _ = l.look(a)
		return answer
	}
}

// look returns the answer as it is now. If it tells the asker nothing new, news is
// closed when there may be some, and left is how long the answer stays of use.
func (l *Log) look(a Request) (answer Response, news <-chan struct{}, left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer = Response{Host: l.host, Now: l.clock(), Reached: l.reached, Page: Page{Next: -1}}
	t := l.topic(a.Topic)
	if !t.direct {
		return answer, t.news, a.patience()
	}
	answer.Direct = true
	if l.members.Generation > a.Generation {
		known := l.members
		answer.Members = &known
	}
	answer.Proved = t.proved
	t.fill(&answer, a.Next)
	if answer.Members != nil || t.next > a.Next || t.proved > a.Proved {
		return answer, nil, 0
	}
	return answer, t.news, l.reached + ReachTerm - answer.Now
}

// patience is how long the answer waits until this host reads the store.
func (a Request) patience() time.Duration {
	switch {
	case a.Patient:
		return a.Wait
	case a.Proved == 0:
		return beginTime
	}
	return 0
}

// fill puts the news behind an offset into an answer.
func (t *topic) fill(answer *Response, next int64) {
	p, whole := t.behind(next)
	answer.Page.Next = p.Next
	answer.Whole = whole
	if p.size() <= plainBytes {
		answer.Page = p
		return
	}
	if t.packed.from != next || t.packed.next != p.Next || t.packed.bytes == nil {
		t.packed = packed{from: next, next: p.Next}
		if p.size() <= packBytes {
			// What can't be packed is fetched from the store.
			t.packed.bytes, _ = p.pack()
		}
		t.packed.tooLarge = len(t.packed.bytes) == 0 || len(t.packed.bytes) > passBytes
	}
	if t.packed.tooLarge {
		answer.Fetch = true
		return
	}
	answer.Packed = t.packed.bytes
}

// behind returns the changes from an offset on, or the newest of each key if some
// of them are no longer held.
func (t *topic) behind(next int64) (p Page, whole bool) {
	p.Next = t.next
	if next >= t.since {
		i, _ := slices.BinarySearchFunc(t.recent, next, func(c Change, offset int64) int { return cmp.Compare(c.Offset, offset) })
		p.Changes = slices.Clone(t.recent[i:])
		return p, false
	}
	p.Changes = slices.Collect(maps.Values(t.newest))
	slices.SortFunc(p.Changes, func(a, b Change) int { return cmp.Compare(a.Offset, b.Offset) })
	return p, true
}
