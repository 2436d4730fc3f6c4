package intake_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bulrushshed/intake"
)

const kib = 1 << 10

// holder records the evictions of an entry.
type holder struct{ reading, writing int }

func (h *holder) Evict(writing bool) {
	if writing {
		h.writing++
		return
	}
	h.reading++
}

// request is an entry with its holder.
type request struct {
	intake.Entry
	holder
}

// start is when each test begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func open(t *testing.T, l *intake.Ledger, n int, now time.Time) *request {
	t.Helper()
	r := &request{}
	if d := l.Open(&r.Entry, &r.holder, n, now); d.Result != intake.Granted {
		t.Fatalf("got %v, want an open entry", d)
	}
	return r
}

// Of the entries that are being read, the one must be evicted whose bytes arrive slowest for
// what it holds, and never one that has been read.
func TestEvictsTheWorstEntry(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := intake.NewLedger(1024 * kib)
	served, stalled, slow, fast := open(t, l, 200*kib, start), open(t, l, 200*kib, start), open(t, l, 100*kib, start), open(t, l, 300*kib, start)
	is.True(l.Complete(&served.Entry))
	now := start.Add(5 * time.Second)
	l.Arrived(&slow.Entry, 8*kib, now)
	l.Arrived(&fast.Entry, 300*kib, now)
	next := open(t, l, 32*kib, now)
	d := l.Reserve(&next.Entry, 100*kib, now)
	is.Equal(d.Result, intake.Waiting)
	is.Equal([]int{served.reading, stalled.reading, slow.reading, fast.reading}, []int{0, 1, 0, 0})
	is.Equal(l.Reserve(&stalled.Entry, kib, now).Result, intake.Refused)
	is.True(!l.Complete(&stalled.Entry))
	l.Close(&stalled.Entry, now)
	<-d.Ready
	is.Equal(l.Await(&next.Entry, now).Result, intake.Granted)
	is.Equal(l.Stats().Reserved, 732*kib)
}

// Entries that arrive at a good rate must not evict each other: none would be completed.
func TestGoodRatesAreNotEvicted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := intake.NewLedger(1024 * kib)
	a, b := open(t, l, 500*kib, start), open(t, l, 300*kib, start)
	l.Arrived(&a.Entry, 400*kib, start)
	l.Arrived(&b.Entry, 300*kib, start)
	d := l.Reserve(&b.Entry, 200*kib, start)
	is.Equal(d.Result, intake.Waiting)
	is.Equal(l.Await(&b.Entry, start.Add(100*time.Millisecond)).Result, intake.Waiting)
	l.Arrived(&a.Entry, 400*kib, start.Add(time.Second))
	is.Equal(l.Await(&b.Entry, start.Add(time.Second)).Result, intake.Refused)
	is.Equal(a.reading+b.reading, 0)
	is.Equal(l.Stats().Reserved, 800*kib)
}

// An entry that stalls while another one waits must be evicted then.
func TestWaitingEntryEvictsWhatStalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := intake.NewLedger(1024 * kib)
	a, b := open(t, l, 500*kib, start), open(t, l, 300*kib, start)
	l.Arrived(&a.Entry, 400*kib, start)
	l.Arrived(&b.Entry, 300*kib, start)
	is.Equal(l.Reserve(&b.Entry, 200*kib, start).Result, intake.Waiting)
	is.Equal(a.reading, 0)
	is.Equal(l.Await(&b.Entry, start.Add(900*time.Millisecond)).Result, intake.Waiting)
	is.Equal(a.reading, 1)
	l.Close(&a.Entry, start)
	is.Equal(l.Await(&b.Entry, start.Add(900*time.Millisecond)).Result, intake.Granted)
}

// An entry that is itself the worst must be refused instead of evicting others.
func TestWorstRequesterIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := intake.NewLedger(1024 * kib)
	a, b := open(t, l, 500*kib, start), open(t, l, 300*kib, start)
	now := start.Add(10 * time.Second)
	l.Arrived(&b.Entry, 300*kib, now)
	is.Equal(l.Reserve(&a.Entry, 200*kib, now).Result, intake.Refused)
	is.Equal(a.reading+b.reading, 0)
}

// Entries that only wait for each other would all be refused at the end of their waits.
func TestEntriesDoNotWaitForEachOther(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := intake.NewLedger(1024 * kib)
	a, b := open(t, l, 400*kib, start), open(t, l, 400*kib, start)
	l.Arrived(&a.Entry, 400*kib, start)
	l.Arrived(&b.Entry, 400*kib, start)
	d := l.Reserve(&a.Entry, 400*kib, start)
	is.Equal(d.Result, intake.Waiting)
	is.Equal(l.Reserve(&b.Entry, 400*kib, start).Result, intake.Refused)
	l.Close(&b.Entry, start)
	<-d.Ready
	is.Equal(l.Await(&a.Entry, start).Result, intake.Granted)
}

// Large bodies must leave room for small requests.
func TestSmallEntriesAreAdmittedBesideLargeOnes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := intake.NewLedger(1024 * kib)
	large := open(t, l, 896*kib, start)
	is.True(l.Complete(&large.Entry))
	var refused request
	d := l.Open(&refused.Entry, &refused.holder, 65*kib, start)
	is.Equal(d.Result, intake.Waiting) // for the end of the large one
	is.Equal(l.Await(&refused.Entry, start.Add(time.Second)).Result, intake.Refused)
	l.Close(&refused.Entry, start)
	for range 2 {
		open(t, l, 64*kib, start)
	}
}

// Responses are reserved even where they do not fit, and those that are not read go first.
func TestUnreadResponseIsEvicted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := intake.NewLedger(1024 * kib)
	unread, stalled := open(t, l, 100*kib, start), open(t, l, 300*kib, start)
	is.True(l.Complete(&unread.Entry))
	l.SetResponse(&unread.Entry, 800*kib, start)
	is.Equal(l.Stats().Reserved, 1200*kib)
	l.BeginWrite(&unread.Entry, start)
	now := start.Add(6 * time.Second)
	var next request
	is.Equal(l.Open(&next.Entry, &next.holder, 32*kib, now).Result, intake.Waiting)
	is.Equal(unread.writing, 1)
	is.Equal(stalled.reading, 0)
	l.Close(&unread.Entry, now)
	is.Equal(l.Await(&next.Entry, now).Result, intake.Granted)
}

func TestPaceAllowance(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := intake.Pace{Grace: 20 * time.Second, BytesPerSecond: 16 * kib}
	is.Equal(p.Allowance(0), 20*time.Second)
	is.Equal(p.Allowance(320*kib), 20*time.Second)
	is.Equal(p.Allowance(640*kib), 40*time.Second)
}

func TestLogLimiter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var l intake.LogLimiter
	logged, omitted := 0, 0
	for i := range 250 {
		if n, ok := l.Allow("memory", start.Add(time.Duration(i)*time.Millisecond)); ok {
			logged++
			omitted += n
		}
	}
	is.Equal(logged, 3)
	is.Equal(omitted, 198)
	_, ok := l.Allow("slow_body", start)
	is.True(ok)
}

// Whatever requests do, the reserved bytes exceed the capacity by no more than the responses
// hold, are the sum of what the entries hold, and are released with them.
func TestLedgerIsBounded(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 1024 * kib
		l := intake.NewLedger(capacity)
		now := start
		entries := map[*request]*model{}
		var all []*request
		pick := func() *request {
			if len(all) == 0 {
				t.Skip("no entry is open")
			}
			return rapid.SampledFrom(all).Draw(t, "entry")
		}
		sizes := rapid.IntRange(1, 300*kib)
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				r := &request{}
				entries[r] = &model{}
				all = append(all, r)
				n := sizes.Draw(t, "n")
				entries[r].reserve(l.Open(&r.Entry, &r.holder, n, now), n)
			},
			"reserve": func(t *rapid.T) {
				if r := pick(); entries[r].wanted == 0 && !entries[r].complete {
					n := sizes.Draw(t, "n")
					entries[r].reserve(l.Reserve(&r.Entry, n, now), n)
				}
			},
			"await": func(*rapid.T) {
				r := pick()
				if m := entries[r]; m.wanted > 0 {
					d := l.Await(&r.Entry, now)
					if d.Result == intake.Waiting {
						return
					}
					if d.Result == intake.Granted {
						m.held += m.wanted
					}
					m.wanted, m.ready, m.granted = 0, nil, false
				}
			},
			"return": func(t *rapid.T) {
				r := pick()
				n := rapid.IntRange(0, entries[r].held).Draw(t, "n")
				l.Return(&r.Entry, n, now)
				entries[r].held -= n
			},
			"arrive":   func(t *rapid.T) { l.Arrived(&pick().Entry, sizes.Draw(t, "n"), now) },
			"complete": func(*rapid.T) { r := pick(); entries[r].complete = entries[r].wanted == 0 && l.Complete(&r.Entry) },
			"respond": func(t *rapid.T) {
				if r := pick(); entries[r].complete {
					n := sizes.Draw(t, "n")
					l.SetResponse(&r.Entry, n, now)
					l.BeginWrite(&r.Entry, now)
					entries[r].response = n
				}
			},
			"close": func(*rapid.T) {
				r := pick()
				l.Close(&r.Entry, now)
				delete(entries, r)
				all = slices.DeleteFunc(all, func(other *request) bool { return other == r })
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) { checkLedger(t, l, entries) },
		})
		for r := range entries {
			l.Close(&r.Entry, now)
		}
		if s := l.Stats(); s.Reserved != 0 || s.Responses != 0 || s.Entries != 0 {
			t.Fatalf("got %+v after the end of all requests, want nothing reserved", s)
		}
	})
}

// model is what an entry must hold.
type model struct {
	held, response, wanted int
	ready                  <-chan struct{}
	// granted is set once the entry has the wanted bytes.
	granted  bool
	complete bool
}

func (m *model) reserve(d intake.Decision, n int) {
	switch d.Result {
	case intake.Granted:
		m.held += n
	case intake.Waiting:
		m.wanted, m.ready = n, d.Ready
	case intake.Refused:
	}
}

// checkLedger compares the ledger with the model of its entries. An entry whose wait ends
// has its bytes, unless it is evicted at that time.
func checkLedger(t *rapid.T, l *intake.Ledger, entries map[*request]*model) {
	s, held, responses := l.Stats(), 0, 0
	for r, m := range entries {
		held += m.held + m.response
		responses += m.response
		select {
		case <-m.ready:
			m.granted = m.granted || r.reading == 0
			m.ready = nil
		default:
		}
		if m.granted {
			held += m.wanted
		}
		if m.complete && r.reading > 0 {
			t.Fatalf("got a request evicted after it was read")
		}
	}
	if s.Reserved != held || s.Responses != responses || s.Entries != len(entries) {
		t.Fatalf("got %+v, want %d bytes held by %d entries, %d by responses", s, held, len(entries), responses)
	}
	if s.Reserved > s.Capacity+s.Responses {
		t.Fatalf("got %+v, want at most the capacity and the responses", s)
	}
}
