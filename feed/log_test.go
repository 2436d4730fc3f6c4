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

// clock returns one that begins ahead of zero.
func clock(ahead time.Duration) func() time.Duration {
	began := time.Now()
	return func() time.Duration { return ahead + time.Since(began) }
}

func change(offset int64, key, value string) feed.Change {
	return feed.Change{Offset: offset, Key: key, Value: []byte(value)}
}

// reading returns a log that has read up to offset 8; the key c has ended.
func reading(now func() time.Duration) *feed.Log {
	l := feed.NewLog("entry-1", now)
	l.Put(topic, feed.Page{Changes: []feed.Change{change(2, "a", "1"), change(4, "b", "1"), change(5, "c", "1")}, Next: 6}, true)
	l.Put(topic, feed.Page{Changes: []feed.Change{change(6, "a", "2"), change(7, "c", "")}, Next: 8}, false)
	l.Prove(topic, now(), true)
	return l
}

// indirect returns the same log on a host that is fed by another one.
func indirect(now func() time.Duration) *feed.Log {
	l := reading(now)
	l.Prove(topic, now(), false)
	return l
}

func TestAnswersBeginWhereTheAskerIs(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		next  int64
		whole bool
		want  []feed.Change
	}{
		{-1, true, []feed.Change{change(4, "b", "1"), change(6, "a", "2")}},
		{3, true, []feed.Change{change(4, "b", "1"), change(6, "a", "2")}},
		{6, false, []feed.Change{change(6, "a", "2"), change(7, "c", "")}},
		{7, false, []feed.Change{change(7, "c", "")}},
		{8, false, nil},
	} {
		is := is.New(t)
		l := reading(clock(time.Hour))
		a := l.Answer(t.Context(), feed.Request{Topic: topic, Next: c.next})
		is.True(a.Usable(c.next))
		is.Equal(a.Whole, c.whole)
		is.Equal(len(a.Page.Changes), len(c.want))
		for i, want := range c.want {
			is.Equal(a.Page.Changes[i], want)
		}
		is.Equal(a.Page.Next, int64(8))
	}
}

// A late word of an old proof takes nothing back.
func TestProofsOnlyGrow(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := reading(clock(time.Hour))
	l.Prove(topic, 2*time.Hour, true)
	l.Prove(topic, time.Hour, true)
	is.Equal(l.Answer(t.Context(), feed.Request{Topic: topic, Next: -1}).Proved, 2*time.Hour)
}

// What another host proved does not show that this one reaches the store.
func TestOnlyTheStoreShowsThatItIsReached(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		now := clock(time.Hour)
		l := reading(now)
		old := now()
		time.Sleep(2 * feed.ReachTerm)
		l.Prove(topic, now(), false)
		l.Prove(topic, old, true)
		if l.Answer(t.Context(), feed.Request{Topic: topic, Next: -1}).Usable(-1) {
			t.Error("got a usable answer of a host that does not reach the store")
		}
	})
}

// An asker that knows all waits for news, for a newer proof, or for its time.
func TestAnswersWaitForNews(t *testing.T) {
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
		{"proof", func(l *feed.Log, now func() time.Duration) { l.Prove(topic, now(), true) }, 100 * time.Millisecond},
		{"loss", func(l *feed.Log, _ func() time.Duration) { l.Lose(topic) }, 100 * time.Millisecond},
		{"members", func(l *feed.Log, _ func() time.Duration) {
			l.Meet(feed.Members{Generation: 4, Names: []string{"entry-1"}})
		}, 100 * time.Millisecond},
		{"members that are known", func(l *feed.Log, _ func() time.Duration) {
			l.Meet(feed.Members{Generation: 3, Names: []string{"entry-1"}})
		}, 600 * time.Millisecond},
		{"reached", func(l *feed.Log, now func() time.Duration) { l.Reach(now()) }, 600 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				now := clock(time.Hour)
				l := reading(now)
				proved := now()
				go func() {
					time.Sleep(100 * time.Millisecond)
					c.do(l, now)
				}()
				began := time.Now()
				a := l.Answer(t.Context(), feed.Request{Topic: topic, Next: 8, Proved: proved, Generation: 3, Wait: 600 * time.Millisecond})
				is.Equal(time.Since(began), c.took)
				is.Equal(a.Usable(8), c.name != "loss")
			})
		})
	}
}

// A host that does not reach the store any more tells so as soon as its answers are
// of no use, and not when the asker's time is over.
func TestAHostThatIsCutOffSaysSo(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := clock(time.Hour)
		l := reading(now)
		proved := now()
		time.Sleep(700 * time.Millisecond)
		began := time.Now()
		a := l.Answer(t.Context(), feed.Request{Topic: topic, Next: 8, Proved: proved, Wait: 600 * time.Millisecond})
		is.Equal(time.Since(began), feed.ReachTerm-700*time.Millisecond)
		is.True(!a.Usable(8))
	})
}

func TestWhatIsOfNoUse(t *testing.T) {
	t.Parallel()
	now := clock(time.Hour)
	for name, l := range map[string]*feed.Log{"unknown topic": feed.NewLog("entry-1", now), "read at another host": indirect(now)} {
		a := l.Answer(t.Context(), feed.Request{Topic: topic, Next: -1, Proved: 1, Wait: time.Hour})
		if a.Usable(-1) {
			t.Errorf("%s: got a usable answer", name)
		}
	}
	// A host behind the asker knows less, whatever it has proved.
	if reading(now).Answer(t.Context(), feed.Request{Topic: topic, Next: 9}).Usable(9) {
		t.Error("got a usable answer from a host that is behind")
	}
}

// Who asks a host for the first time may be there before the host reads the store;
// who can't read it either waits as long as it may.
func TestAHostHasAMomentToBeginToRead(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		ask         feed.Request
		after, took time.Duration
		usable      bool
	}{
		{feed.Request{}, 50 * time.Millisecond, 50 * time.Millisecond, true},
		{feed.Request{}, time.Second, 200 * time.Millisecond, false},
		{feed.Request{Proved: 1}, 50 * time.Millisecond, 0, false},
		{feed.Request{Proved: 1, Patient: true}, 400 * time.Millisecond, 400 * time.Millisecond, true},
		{feed.Request{Proved: 1, Patient: true}, time.Second, 600 * time.Millisecond, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			now := clock(time.Hour)
			l := indirect(now)
			go func() {
				time.Sleep(c.after)
				l.Prove(topic, now(), true)
			}()
			began := time.Now()
			ask := c.ask
			ask.Topic, ask.Next, ask.Wait = topic, 8, 600*time.Millisecond
			a := l.Answer(t.Context(), ask)
			is.Equal(time.Since(began), c.took)
			is.Equal(a.Usable(8), c.usable)
			time.Sleep(2 * time.Second)
		})
	}
}

// Members come with the answer, once for each generation, and only grow.
func TestAnswersCarryTheMembers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := reading(clock(time.Hour))
	l.Meet(feed.Members{Generation: 5, Names: []string{"entry-1", "entry-2"}})
	l.Meet(feed.Members{Generation: 4, Names: []string{"entry-1"}})
	a := l.Answer(t.Context(), feed.Request{Topic: topic, Next: 8, Generation: 4})
	is.Equal(*a.Members, feed.Members{Generation: 5, Names: []string{"entry-1", "entry-2"}})
	a = l.Answer(t.Context(), feed.Request{Topic: topic, Next: 8, Generation: 5})
	is.Equal(a.Members, nil)
}

// An asker that left is not answered later.
func TestAnswersEndWithTheirContext(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		now := clock(0)
		l := reading(now)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		began := time.Now()
		l.Answer(ctx, feed.Request{Topic: topic, Next: 8, Proved: now(), Wait: time.Second})
		if got := time.Since(began); got != 10*time.Millisecond {
			t.Errorf("got an end after %v, want 10 ms", got)
		}
	})
}

// Whoever asks again and again from where it is holds what the log holds, though
// the log forgets old changes.
func TestAskersHoldWhatTheLogHolds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		now := clock(0)
		l := feed.NewLog("entry-1", now)
		l.Put(topic, feed.Page{}, true)
		l.Prove(topic, now(), true)
		want, got := map[string]string{}, map[string]string{}
		next, asked := int64(0), int64(-1)
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
				apply(want, c)
			}
			next = p.Next
			if n > 0 && rapid.Bool().Draw(t, "history dropped") {
				l.Put(topic, newest(want, next), true)
			} else {
				l.Put(topic, p, false)
			}
			if rapid.Bool().Draw(t, "ask") {
				asked = follow(t, l, got, want, asked)
			}
		}
		follow(t, l, got, want, asked)
		if len(got) != len(want) {
			t.Fatalf("got %d keys, want %d", len(got), len(want))
		}
		for key, value := range want {
			if got[key] != value {
				t.Fatalf("got another value of %s", key)
			}
		}
	})
}

// newest returns the page of a store that has dropped its history.
func newest(state map[string]string, next int64) feed.Page {
	p := feed.Page{Next: next}
	for key, value := range state {
		p.Changes = append(p.Changes, change(next-1, key, value))
	}
	return p
}

func apply(state map[string]string, c feed.Change) {
	state[c.Key] = string(c.Value)
	if len(c.Value) == 0 {
		delete(state, c.Key)
	}
}

// follow brings a state up to date by an answer, or by what the store has if the
// answer says so.
func follow(t *rapid.T, l *feed.Log, state, store map[string]string, next int64) int64 {
	a := l.Answer(context.Background(), feed.Request{Topic: topic, Next: next})
	if a.Fetch {
		clear(state)
		maps.Copy(state, store)
		return a.Page.Next
	}
	if a.Whole {
		clear(state)
	}
	p, err := a.Open()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range p.Changes {
		apply(state, c)
	}
	return p.Next
}

// Much news is packed, and too much of it is left to the store.
func TestLargeNewsIsPackedOrFetched(t *testing.T) {
	t.Parallel()
	text := strings.Repeat(`{"name":"a","service":"b","weight":1},`, 4000)
	noise := make([]byte, 100<<10)
	r := rand.New(rand.NewPCG(1, 1))
	for i := range noise {
		noise[i] = byte(r.Uint32())
	}
	for _, c := range []struct {
		name, value   string
		packed, fetch bool
	}{
		{"little", text[:1000], false, false},
		{"much", text, true, false},
		{"much that can't be packed", string(noise), false, true},
		{"very much", strings.Repeat(text, 5), false, true},
	} {
		is := is.New(t)
		now := clock(time.Hour)
		l := reading(now)
		l.Put(topic, feed.Page{Changes: []feed.Change{change(8, "config", c.value)}, Next: 9}, false)
		for range 2 { // the second answer is the same
			a := l.Answer(t.Context(), feed.Request{Topic: topic, Next: 8})
			is.True(a.Usable(8))
			is.Equal(len(a.Packed) > 0, c.packed)
			is.True(len(a.Packed) < len(text)/4)
			is.Equal(a.Fetch, c.fetch)
			p, err := a.Open()
			is.NoErr(err)
			is.Equal(p.Next, int64(9))
			if !c.fetch {
				is.Equal(p.Changes, []feed.Change{change(8, "config", c.value)})
			}
		}
		// One that is further behind gets other news.
		a := l.Answer(t.Context(), feed.Request{Topic: topic, Next: 7})
		p, err := a.Open()
		is.NoErr(err)
		is.True(c.fetch || len(p.Changes) == 2)
	}
}

// Bytes that are no page are an error, and so are too many of them.
func FuzzOpen(f *testing.F) {
	l := reading(clock(time.Hour))
	l.Put(topic, feed.Page{Changes: []feed.Change{change(8, "config", strings.Repeat("x", 8<<10))}, Next: 9}, false)
	f.Add(l.Answer(context.Background(), feed.Request{Topic: topic, Next: 8}).Packed)
	f.Add([]byte{0, 1, 2})
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := feed.Response{Packed: text, Page: feed.Page{Next: 4}}.Open()
		var e *feed.Error
		if err != nil && !errors.As(err, &e) || err == nil && p.Next != 4 {
			t.Fatalf("got %v and %v", p.Next, err)
		}
	})
}

// A proof that came over other hosts' clocks is never taken for newer than it is,
// however long answers wait and travel.
func TestProofsAreNeverTakenForNewer(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		ahead := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "ahead"))
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		delay := func() time.Duration { return time.Duration(r.Int64N(int64(time.Second))) }
		var o feed.Offset
		now, least := time.Duration(0), time.Hour
		for i := range 20 {
			sent := now
			proved := sent - delay() + delay()/2
			answered := max(sent, proved) + delay()
			least = min(least, answered-sent)
			a := feed.Response{Host: "entry-1", Now: answered + ahead, Proved: proved + ahead}
			o.Learn(a, sent)
			now = answered + delay()
			got := o.Own(a.Proved)
			if got > proved || got < proved-least {
				t.Fatalf("answer %d: got a proof of %v, want one of at most %v and at least %v", i, got, proved, proved-least)
			}
		}
		// Another incarnation's clock begins anew.
		o.Learn(feed.Response{Host: "entry-1 again", Now: 5 + ahead/2}, now)
		if got := o.Own(5 + ahead/2); got != now {
			t.Fatalf("got %v, want %v", got, now)
		}
	})
}
