package ratelimit_test

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bulrushshed/ratelimit"
)

func newSingleLimiter() *ratelimit.Limiter {
	return ratelimit.NewLimiter(newLimits(nil), ratelimit.SingleHost{}, slog.New(slog.DiscardHandler))
}

func TestNoRequestDuringWait(t *testing.T) {
	t.Parallel()
	for name, need := range map[string]ratelimit.Need{
		"request":        {},
		"urgent request": {Urgent: true},
		"short patience": {MaxWait: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := newSingleLimiter()
				l.RecordWait(engine, 2*time.Second, time.Now())
				l.RecordWait(engine, time.Second, time.Now()) // never shortened
				time.Sleep(time.Second)
				is.True(!l.Acquire(t.Context(), engine, need).Granted)
				is.True(l.Blocked(time.Now())[engine] >= time.Second)
				time.Sleep(1300 * time.Millisecond)
				is.True(l.Acquire(t.Context(), engine, need).Granted)
				is.Equal(len(l.Blocked(time.Now())), 0)
			})
		})
	}
}

func TestRequestWaitsForTheEndOfAShortWait(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newSingleLimiter()
		began := time.Now()
		l.RecordWait(engine, 100*time.Millisecond, began)
		is.True(l.Acquire(t.Context(), engine, ratelimit.Need{MaxWait: time.Second}).Granted)
		is.True(time.Since(began) >= 100*time.Millisecond)
	})
}

// A wait that a replica names while a request waits for its turn holds for that request.
func TestWaitEndsATurn(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limits := newLimits(nil)
		limits.Record(engine, named(1), time.Now(), time.Now())
		l := ratelimit.NewLimiter(limits, ratelimit.SingleHost{}, slog.New(slog.DiscardHandler))
		is.True(l.Acquire(t.Context(), engine, ratelimit.Need{}).Granted)
		time.AfterFunc(200*time.Millisecond, func() { l.RecordWait(engine, 5*time.Second, time.Now()) })
		is.True(!l.Acquire(t.Context(), engine, ratelimit.Need{MaxWait: 2 * time.Second}).Granted)
	})
}

// Forty hosts are told the same wait by a replica. At its end, and when the callers that
// they refused return, no tenth of a second gets more than two thirds of the requests.
func TestNoHerdAtTheEndOfAWait(t *testing.T) {
	t.Parallel()
	const hosts, wait, bucket, limit = 40, 2 * time.Second, 100 * time.Millisecond, 40 * 2 / 3
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var mu sync.Mutex
		ends, returns := map[time.Duration]int{}, map[time.Duration]int{}
		var done sync.WaitGroup
		for range hosts {
			l := newSingleLimiter()
			l.RecordWait(engine, wait, time.Now())
			after := l.ReturnAfter("s", []string{engine}, l.Blocked(time.Now())[engine], time.Now())
			done.Go(func() {
				l.Acquire(context.Background(), engine, ratelimit.Need{MaxWait: time.Minute})
				mu.Lock()
				defer mu.Unlock()
				ends[time.Since(began)/bucket]++
				returns[after/bucket]++
			})
		}
		done.Wait()
		for name, counts := range map[string]map[time.Duration]int{"ends": ends, "returns": returns} {
			var most int
			for _, n := range counts {
				most = max(most, n)
			}
			if most > limit {
				t.Errorf("%s: got %d in a tenth of a second, want at most %d", name, most, limit)
			}
		}
	})
}

func TestParseWait(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		fields []string
		want   time.Duration
	}{
		{nil, 0},
		{[]string{""}, 0},
		{[]string{"2"}, 2 * time.Second},
		{[]string{"0.25"}, 250 * time.Millisecond},
		{[]string{"1", "3", "2"}, 3 * time.Second},
		{[]string{"-1"}, 0},
		{[]string{"NaN"}, 0},
		{[]string{"1e400"}, 0},
		{[]string{"1e30"}, 10 * time.Minute},
		{[]string{"Fri, 31 Dec 2027 23:59:59 GMT"}, 0},
		{slices.Repeat([]string{"x"}, 3), 0},
	} {
		is.New(t).Equal(ratelimit.ParseWait(c.fields), c.want)
	}
}

func TestWaitItemsAreParsed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	i := ratelimit.WaitItem("10.0.0.1:7", "i1/5", 3*time.Second, time.Unix(9, 0))
	w, ok := ratelimit.ParseWaitItem(i)
	is.True(ok)
	is.Equal(w, ratelimit.Wait{Host: "10.0.0.1:7", Replica: "i1/5", Left: 3 * time.Second})
	i.Key = "wait/x"
	_, ok = ratelimit.ParseWaitItem(i)
	is.True(!ok)
}
