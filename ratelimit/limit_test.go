package ratelimit_test

import (
	"fmt"
	"log/slog"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bulrushshed/gossip"
	"bulrushshed/ratelimit"
)

const engine = "i-1/1000"

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// newLimits returns a table that appends what it announces to items.
func newLimits(items *[]gossip.Item) *ratelimit.Limits {
	return ratelimit.NewLimits(func(i gossip.Item) {
		if items != nil {
			*items = append(*items, i)
		}
	}, slog.New(slog.DiscardHandler))
}

func named(rate float64) ratelimit.Naming { return ratelimit.Naming{Named: true, Rate: rate} }

func TestLimitsFromAnswers(t *testing.T) {
	t.Parallel()
	type answer struct {
		naming ratelimit.Naming
		sent   time.Duration
		at     time.Duration
	}
	for _, c := range []struct {
		name    string
		answers []answer
		after   time.Duration
		rate    float64
		limited bool
	}{
		{"none", nil, 0, 0, false},
		{"not named", []answer{{ratelimit.Naming{}, 0, 1}}, time.Second, 0, false},
		{"named", []answer{{named(3.5), 0, 1}}, time.Second, 3.5, true},
		{"changed", []answer{{named(3.5), 0, 1}, {named(2), 2, 3}}, time.Second, 2, true},
		{"ended", []answer{{named(3.5), 0, 1}, {ratelimit.Naming{}, 2, 3}}, time.Second, 0, false},
		{"named again", []answer{{named(3.5), 0, 1}, {ratelimit.Naming{}, 2, 3}, {named(1), 4, 5}}, time.Second, 1, true},
		{"late answer to an earlier request", []answer{{named(3.5), 0, 5}, {ratelimit.Naming{}, 1, 6}}, time.Second, 3.5, true},
		{"expired", []answer{{named(3.5), 0, 1}}, 31 * time.Second, 0, false},
		{"named once more", []answer{{named(3.5), 0, 0}, {named(3.5), 0, 25 * time.Second}}, 50 * time.Second, 3.5, true},
		{"very low", []answer{{named(0), 0, 1}}, time.Second, 0.25, true},
		{"negative", []answer{{named(-1), 0, 1}}, time.Second, 0, false},
		{"not a number", []answer{{named(math.NaN()), 0, 1}}, time.Second, 0, false},
		{"infinite", []answer{{named(math.Inf(1)), 0, 1}}, time.Second, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l := newLimits(nil)
			for _, a := range c.answers {
				l.Record(engine, a.naming, at(a.sent), at(a.at))
			}
			rate, limited := l.Rate(engine, at(c.after))
			is.Equal(rate, c.rate)
			is.Equal(limited, c.limited)
			_, other := l.Rate("i-1/2000", at(c.after)) // another incarnation
			is.True(!other)
		})
	}
}

// A host that reads the same limit in every answer announces it now and then.
func TestAnnouncementsOfALimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var items []gossip.Item
	l, other := newLimits(&items), newLimits(nil)
	for d := time.Duration(0); d < 90*time.Second; d += 100 * time.Millisecond {
		n := len(items)
		l.Record(engine, named(4), at(d), at(d))
		for _, i := range items[n:] {
			is.True(other.Merge(i, at(d)))
		}
		rate, limited := other.Rate(engine, at(d))
		is.True(limited)
		is.Equal(rate, 4.0)
	}
	is.True(len(items) >= 5) // it would expire otherwise
	is.True(len(items) <= 12)
	l.Record(engine, ratelimit.Naming{}, at(90*time.Second), at(90*time.Second))
	is.True(other.Merge(items[len(items)-1], at(90*time.Second)))
	_, limited := other.Rate(engine, at(90*time.Second))
	is.True(!limited)
	is.Equal(other.Len(at(90*time.Second)), 0)
}

func TestMergeIgnoresOtherItems(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newLimits(nil)
	for _, i := range []gossip.Item{
		{Key: "part/1/crash/1/e", Stamp: 1}, {Key: "limit/", Stamp: 1}, {Key: "limit/e", Stamp: 1, Value: []byte("x")}, {Key: "limit/e", Stamp: 1, Value: []byte("NaN")},
	} {
		is.True(!l.Merge(i, start))
	}
	is.Equal(l.Len(start), 0)
}

// Hosts that have received the same announcements in any order know the same limits.
func TestAnnouncementsCommute(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		var items []gossip.Item
		l := newLimits(&items)
		for n := range rapid.IntRange(1, 10).Draw(rt, "answers") {
			naming := ratelimit.Naming{}
			if rapid.Bool().Draw(rt, "named") {
				naming = named(float64(rapid.IntRange(1, 3).Draw(rt, "rate")))
			}
			l.Record(engine, naming, at(time.Duration(n)*time.Second), at(time.Duration(n)*time.Second))
		}
		other := newLimits(nil)
		for _, i := range rapid.Permutation(items).Draw(rt, "shuffled") {
			other.Merge(i, at(9*time.Second))
		}
		wantRate, want := l.Rate(engine, at(9*time.Second))
		rate, limited := other.Rate(engine, at(9*time.Second))
		if rate != wantRate || limited != want {
			rt.Fatalf("got limit %v (%v), want %v (%v)", rate, limited, wantRate, want)
		}
	})
}

func TestLimitsAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newLimits(nil)
	const replicas, remembered = 2500, 2048
	for n := range replicas {
		now := at(time.Duration(n) * time.Millisecond)
		l.Record(fmt.Sprint(n), named(1), now, now)
	}
	now := at(replicas * time.Millisecond)
	is.Equal(l.Len(now), remembered)
	_, limited := l.Rate(fmt.Sprint(replicas-1), now) // the newest are kept
	is.True(limited)
}

func FuzzMerge(f *testing.F) {
	f.Add("limit/i-1/1000", int64(1), []byte("3.5"))
	f.Add("limit/i-1/1000", int64(2), []byte(nil))
	f.Add("limit", int64(2), []byte("1e999"))
	f.Fuzz(func(t *testing.T, key string, stamp int64, value []byte) {
		l := newLimits(nil)
		ok := l.Merge(gossip.Item{Key: key, Stamp: stamp, Value: value, TTLMS: 1000}, start)
		if !ok && l.Len(start) > 0 {
			t.Errorf("got a limit from an item that is ignored: %q %q", key, value)
		}
	})
}
