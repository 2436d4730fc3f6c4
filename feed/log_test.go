package feed_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bulrushshed/feed"
)

const topic = "list"

// newClock returns a clock that starts at the given value.
func newClock(ahead time.Duration) func() time.Duration {
	began := time.Now()
	return func() time.Duration { return ahead + time.Since(began) }
}

func change(offset int64, key, value string) feed.Change {
	return feed.Change{Offset: offset, Key: key, Value: []byte(value)}
}

// newReaderLog returns the log of a host that has read the topic directly from
// the store up to offset 8. The key c has been deleted.
func newReaderLog(now func() time.Duration) *feed.Log {
	l := feed.NewLog("entry-1", now)
	l.Put(topic, feed.Page{Changes: []feed.Change{change(2, "a", "1"), change(4, "b", "1"), change(5, "c", "1")}, Next: 6}, true)
	l.Put(topic, feed.Page{Changes: []feed.Change{change(6, "a", "2"), change(7, "c", "")}, Next: 8}, false)
	l.MarkCurrent(topic, now(), true)
	return l
}

// newFollowerLog returns the same log on a host that receives the topic from
// another host.
func newFollowerLog(now func() time.Duration) *feed.Log {
	l := newReaderLog(now)
	l.MarkCurrent(topic, now(), false)
	return l
}

func TestAnswerStartsAtRequestedOffset(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		next     int64
		snapshot bool
		want     []feed.Change
	}{
		{-1, true, []feed.Change{change(4, "b", "1"), change(6, "a", "2")}},
		{3, true, []feed.Change{change(4, "b", "1"), change(6, "a", "2")}},
		{6, false, []feed.Change{change(6, "a", "2"), change(7, "c", "")}},
		{7, false, []feed.Change{change(7, "c", "")}},
		{8, false, nil},
	} {
		is := is.New(t)
		l := newReaderLog(newClock(time.Hour))
		a := l.Answer(t.Context(), feed.Request{Topic: topic, Next: c.next})
		is.True(a.Usable(feed.Position{Offset: c.next}))
		is.Equal(a.Snapshot, c.snapshot)
		is.Equal(len(a.Page.Changes), len(c.want))
		for i, want := range c.want {
			is.Equal(a.Page.Changes[i], want)
		}
		is.Equal(a.Page.Next, int64(8))
	}
}

// A late report with an older time must not move the topic's time back.
func TestCurrentAsOfNeverMovesBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newReaderLog(newClock(time.Hour))
	l.MarkCurrent(topic, 2*time.Hour, true)
	l.MarkCurrent(topic, time.Hour, true)
	is.Equal(l.Answer(t.Context(), feed.Request{Topic: topic, Next: -1}).CurrentAsOf, 2*time.Hour)
}

// A time learned from another host must not count as contact with the store.
func TestIndirectUpdateIsNotStoreContact(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		now := newClock(time.Hour)
		l := newReaderLog(now)
		old := now()
		time.Sleep(2 * feed.StoreReachTTL)
		l.MarkCurrent(topic, now(), false)
		l.MarkCurrent(topic, old, true)
		if l.Answer(t.Context(), feed.Request{Topic: topic, Next: -1}).Usable(feed.Position{Offset: -1}) {
			t.Error("got a usable answer from a host that does not reach the store")
		}
	})
}

// A follower that is up to date waits for a change, a newer current-as-of time,
// or the timeout.
func TestAnswerWaitsForChanges(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		do   func(l *feed.Log, now func() time.Duration)
		took time.Duration
	}{
		{"nothing", func(*feed.Log, func() time.Duration) {}, 600 * time.Millisecond},
		{"change", func(l *feed.Log, _ func() time.Duration) {
			l.Put(topic, feed.Page{Changes: []feed.Change{change(8, "c", "1")}, Next: 9}, false)
		}, 100 * time.Millisecond},
		{"newer current-as-of time", func(l *feed.Log, now func() time.Duration) { l.MarkCurrent(topic, now(), true) }, 100 * time.Millisecond},
		{"store unavailable", func(l *feed.Log, _ func() time.Duration) { l.MarkUnavailable(topic) }, 100 * time.Millisecond},
		{"newer members", func(l *feed.Log, _ func() time.Duration) {
			l.SetMembers(feed.Members{Generation: 4, Names: []string{"entry-1"}})
		}, 100 * time.Millisecond},
		{"known members", func(l *feed.Log, _ func() time.Duration) {
			l.SetMembers(feed.Members{Generation: 3, Names: []string{"entry-1"}})
		}, 600 * time.Millisecond},
		{"store contact only", func(l *feed.Log, now func() time.Duration) { l.MarkStoreReached(now()) }, 600 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				now := newClock(time.Hour)
				l := newReaderLog(now)
				currentAsOf := now()
				go func() {
					time.Sleep(100 * time.Millisecond)
					c.do(l, now)
				}()
				began := time.Now()
				a := l.Answer(t.Context(), feed.Request{Topic: topic, Next: 8, CurrentAsOf: currentAsOf, Generation: 3, Wait: 600 * time.Millisecond})
				is.Equal(time.Since(began), c.took)
				is.Equal(a.Usable(feed.Position{Offset: 8}), c.name != "store unavailable")
			})
		})
	}
}

// A host that lost contact with the store answers as soon as its answer becomes
// unusable, instead of holding the request for the full wait.
func TestAnswerReturnsWhenStoreContactExpires(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := newClock(time.Hour)
		l := newReaderLog(now)
		currentAsOf := now()
		time.Sleep(700 * time.Millisecond)
		began := time.Now()
		a := l.Answer(t.Context(), feed.Request{Topic: topic, Next: 8, CurrentAsOf: currentAsOf, Wait: 600 * time.Millisecond})
		is.Equal(time.Since(began), feed.StoreReachTTL-700*time.Millisecond)
		is.True(!a.Usable(feed.Position{Offset: 8}))
	})
}

func TestUnusableAnswers(t *testing.T) {
	t.Parallel()
	now := newClock(time.Hour)
	for name, l := range map[string]*feed.Log{"unknown topic": feed.NewLog("entry-1", now), "topic read by another host": newFollowerLog(now)} {
		a := l.Answer(t.Context(), feed.Request{Topic: topic, Next: -1, CurrentAsOf: 1, Wait: time.Hour})
		if a.Usable(feed.Position{Offset: -1}) {
			t.Errorf("%s: got a usable answer", name)
		}
	}
	// A host that is behind the follower has nothing to offer, however recent
	// its current-as-of time is.
	if newReaderLog(now).Answer(t.Context(), feed.Request{Topic: topic, Next: 9}).Usable(feed.Position{Offset: 9}) {
		t.Error("got a usable answer from a host that is behind")
	}
}

// A follower's first request may arrive before the host has started to read the
// store. If the follower cannot read the store itself, the host holds the
// request for the full wait.
func TestAnswerWaitsForReaderToStart(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		request     feed.Request
		after, took time.Duration
		usable      bool
	}{
		{feed.Request{}, 50 * time.Millisecond, 50 * time.Millisecond, true},
		{feed.Request{}, time.Second, 200 * time.Millisecond, false},
		{feed.Request{CurrentAsOf: 1}, 50 * time.Millisecond, 0, false},
		{feed.Request{CurrentAsOf: 1, WaitForReader: true}, 400 * time.Millisecond, 400 * time.Millisecond, true},
		{feed.Request{CurrentAsOf: 1, WaitForReader: true}, time.Second, 600 * time.Millisecond, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			now := newClock(time.Hour)
			l := newFollowerLog(now)
			go func() {
				time.Sleep(c.after)
				l.MarkCurrent(topic, now(), true)
			}()
			began := time.Now()
			request := c.request
			request.Topic, request.Next, request.Wait = topic, 8, 600*time.Millisecond
			a := l.Answer(t.Context(), request)
			is.Equal(time.Since(began), c.took)
			is.Equal(a.Usable(feed.Position{Offset: 8}), c.usable)
			time.Sleep(2 * time.Second)
		})
	}
}

// Members are sent once per generation, and an older generation never replaces
// a newer one.
func TestAnswerCarriesNewerMembers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newReaderLog(newClock(time.Hour))
	l.SetMembers(feed.Members{Generation: 5, Names: []string{"entry-1", "entry-2"}})
	l.SetMembers(feed.Members{Generation: 4, Names: []string{"entry-1"}})
	a := l.Answer(t.Context(), feed.Request{Topic: topic, Next: 8, Generation: 4})
	is.Equal(*a.Members, feed.Members{Generation: 5, Names: []string{"entry-1", "entry-2"}})
	a = l.Answer(t.Context(), feed.Request{Topic: topic, Next: 8, Generation: 5})
	is.Equal(a.Members, nil)
}

// A request whose context has ended must not be held any longer.
func TestAnswerEndsWithContext(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		now := newClock(0)
		l := newReaderLog(now)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		began := time.Now()
		l.Answer(ctx, feed.Request{Topic: topic, Next: 8, CurrentAsOf: now(), Wait: time.Second})
		if got := time.Since(began); got != 10*time.Millisecond {
			t.Errorf("got an answer after %v, want 10 ms", got)
		}
	})
}

// A follower that repeatedly asks from its own offset converges to the state of
// the log, even though the log discards old changes.
func TestFollowerConvergesToLog(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		now := newClock(0)
		l := feed.NewLog("entry-1", now)
		l.Put(topic, feed.Page{}, true)
		l.MarkCurrent(topic, now(), true)
		want, got := map[string]string{}, map[string]string{}
		next, followerNext := int64(0), int64(-1)
		big := string(make([]byte, 200<<10))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			n := rapid.IntRange(0, 3).Draw(t, "changes")
			p := feed.Page{Next: next + int64(n)}
			for i := range n {
				c := change(next+int64(i), fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), "")
				if rapid.Bool().Draw(t, "value") {
					c.Value = []byte(fmt.Sprint(c.Offset) + big)
				}
				p.Changes = append(p.Changes, c)
				applyChange(want, c)
			}
			next = p.Next
			if n > 0 && rapid.Bool().Draw(t, "history compacted") {
				l.Put(topic, snapshotPage(want, next), true)
			} else {
				l.Put(topic, p, false)
			}
			if rapid.Bool().Draw(t, "ask") {
				followerNext = catchUp(t, l, got, want, followerNext)
			}
		}
		catchUp(t, l, got, want, followerNext)
		if len(got) != len(want) {
			t.Fatalf("got %d keys, want %d", len(got), len(want))
		}
		for key, value := range want {
			if got[key] != value {
				t.Fatalf("got a wrong value for key %s", key)
			}
		}
	})
}

// snapshotPage returns the page of a store that has compacted its history.
func snapshotPage(state map[string]string, next int64) feed.Page {
	p := feed.Page{Next: next}
	for key, value := range state {
		p.Changes = append(p.Changes, change(next-1, key, value))
	}
	return p
}

func applyChange(state map[string]string, c feed.Change) {
	state[c.Key] = string(c.Value)
	if len(c.Value) == 0 {
		delete(state, c.Key)
	}
}

// catchUp requests the changes from offset next on and applies them to state,
// or copies the store's state if the response says to fetch it. It returns the
// offset to request next.
func catchUp(t *rapid.T, l *feed.Log, state, store map[string]string, next int64) int64 {
	a := l.Answer(context.Background(), feed.Request{Topic: topic, Next: next})
	if a.Fetch {
		clear(state)
		maps.Copy(state, store)
		return a.Page.Next
	}
	if a.Snapshot {
		clear(state)
	}
	p, err := a.Open()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range p.Changes {
		applyChange(state, c)
	}
	return p.Next
}

// Large pages are compressed, and very large ones are left to be fetched from
// the store.
func TestLargePageIsCompressedOrFetched(t *testing.T) {
	t.Parallel()
	text := strings.Repeat(`{"name":"a","service":"b","weight":1},`, 4000)
	noise := make([]byte, 100<<10)
	r := rand.New(rand.NewPCG(1, 1))
	for i := range noise {
		noise[i] = byte(r.Uint32())
	}
	for _, c := range []struct {
		name, value       string
		compressed, fetch bool
	}{
		{"small", text[:1000], false, false},
		{"large", text, true, false},
		{"large, incompressible", string(noise), false, true},
		{"very large", strings.Repeat(text, 5), false, true},
	} {
		is := is.New(t)
		now := newClock(time.Hour)
		l := newReaderLog(now)
		l.Put(topic, feed.Page{Changes: []feed.Change{change(8, "config", c.value)}, Next: 9}, false)
		for range 2 { // the second answer comes from the cache
			a := l.Answer(t.Context(), feed.Request{Topic: topic, Next: 8})
			is.True(a.Usable(feed.Position{Offset: 8}))
			is.Equal(len(a.Compressed) > 0, c.compressed)
			is.True(len(a.Compressed) < len(text)/4)
			is.Equal(a.Fetch, c.fetch)
			p, err := a.Open()
			is.NoErr(err)
			is.Equal(p.Next, int64(9))
			if !c.fetch {
				is.Equal(p.Changes, []feed.Change{change(8, "config", c.value)})
			}
		}
		// A follower that is further behind gets a different page.
		a := l.Answer(t.Context(), feed.Request{Topic: topic, Next: 7})
		p, err := a.Open()
		is.NoErr(err)
		is.True(c.fetch || len(p.Changes) == 2)
	}
}

// Malformed or oversized input is an error.
func FuzzOpen(f *testing.F) {
	l := newReaderLog(newClock(time.Hour))
	l.Put(topic, feed.Page{Changes: []feed.Change{change(8, "config", strings.Repeat("x", 8<<10))}, Next: 9}, false)
	f.Add(l.Answer(context.Background(), feed.Request{Topic: topic, Next: 8}).Compressed)
	f.Add([]byte{0, 1, 2})
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := feed.Response{Compressed: text, Page: feed.Page{Next: 4}}.Open()
		var e *feed.Error
		if err != nil && !errors.As(err, &e) || err == nil && p.Next != 4 {
			t.Fatalf("got next offset %d and error %v, want offset 4 or an *feed.Error", p.Next, err)
		}
	})
}

// A current-as-of time converted from another host's clock is never later than
// the real one, whatever the delays of the response and the network.
func TestClockOffsetNeverYieldsLaterTime(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		ahead := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "ahead"))
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		delay := func() time.Duration { return time.Duration(r.Int64N(int64(time.Second))) }
		var o feed.ClockOffset
		now, least := time.Duration(0), time.Hour
		for i := range 20 {
			sent := now
			currentAsOf := sent - delay() + delay()/2
			answered := max(sent, currentAsOf) + delay()
			least = min(least, answered-sent)
			a := feed.Response{Host: "entry-1", Now: answered + ahead, CurrentAsOf: currentAsOf + ahead}
			o.AddSample(a, sent)
			now = answered + delay()
			got := o.ToLocal(a.CurrentAsOf)
			if got > currentAsOf || got < currentAsOf-least {
				t.Fatalf("answer %d: got a local time of %v, want at most %v and at least %v", i, got, currentAsOf, currentAsOf-least)
			}
		}
		// The clock of a new incarnation starts from a new origin.
		o.AddSample(feed.Response{Host: "entry-1 again", Now: 5 + ahead/2}, now)
		if got := o.ToLocal(5 + ahead/2); got != now {
			t.Fatalf("new incarnation: got a local time of %v, want %v", got, now)
		}
	})
}
