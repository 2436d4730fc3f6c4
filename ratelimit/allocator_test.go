package ratelimit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bulrushshed/ratelimit"
)

// window is the time over which the requests to a replica are counted.
const window = 4 * time.Second

// mostIn returns the largest number of the given times that are within a window.
func mostIn(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowed is the number of requests that a replica may get in a window.
func allowed(rate float64) int { return int(1.5*rate*window.Seconds()) + 5 }

// However requests arrive, a host grants no more than the limit allows, also together with
// one that takes its place meanwhile.
func TestGrantsStayWithinTheLimit(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.SampledFrom([]float64{0, 0.3, 1, 2.2, 3.7, 12, 80}).Draw(rt, "rate")
		withFallback := rapid.Bool().Draw(rt, "fallback")
		responsible, fallback := ratelimit.NewAllocator(), ratelimit.NewAllocator()
		var sent []time.Time
		now := start
		for range rapid.IntRange(1, 400).Draw(rt, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "pause_ms")) * time.Millisecond)
			q := ratelimit.Question{Replica: engine, Rate: rate, MaxWaitMS: rapid.Int64Range(0, 200).Draw(rt, "max_wait_ms"), Urgent: rapid.IntRange(0, 4).Draw(rt, "urgent") == 0}
			a := responsible
			if withFallback && rapid.Bool().Draw(rt, "to_fallback") {
				a, q.Fallback, q.Urgent = fallback, true, false
			}
			p := a.Decide(q, rate, now)
			switch {
			case p.Granted && p.WaitMS > q.MaxWaitMS:
				rt.Fatalf("got a wait of %d ms, want at most %d ms", p.WaitMS, q.MaxWaitMS)
			case p.Granted:
				sent = append(sent, now.Add(p.Wait()))
			case p.WaitMS <= 0:
				rt.Fatal("got no time after which to ask again")
			}
		}
		if got := mostIn(sent); got > allowed(max(rate, 0.25)) {
			rt.Fatalf("got %d requests in %v at a limit of %v a second, want at most %d", got, window, rate, allowed(rate))
		}
	})
}

// The limit holds while some hosts ask the responsible host and others the one that takes
// its place, all as often as they can after a pause.
func TestLimitHoldsBesideAFallback(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{0.25, 1, 3.7, 12, 80} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			t.Parallel()
			responsible, fallback := ratelimit.NewAllocator(), ratelimit.NewAllocator()
			var sent []time.Time
			responsible.Decide(ratelimit.Question{Replica: engine}, rate, at(0))
			fallback.Decide(ratelimit.Question{Replica: engine, Fallback: true}, rate, at(0))
			for d := 20 * time.Second; d < 40*time.Second; d += time.Millisecond {
				for _, urgent := range []bool{false, true} {
					if responsible.Decide(ratelimit.Question{Replica: engine, Urgent: urgent}, rate, at(d)).Granted {
						sent = append(sent, at(d))
					}
				}
				if fallback.Decide(ratelimit.Question{Replica: engine, Fallback: true}, rate, at(d)).Granted {
					sent = append(sent, at(d))
				}
			}
			if got := mostIn(sent); got > allowed(rate) {
				t.Errorf("got %d requests in %v, want at most %d", got, window, allowed(rate))
			}
		})
	}
}

// A replica is used at its limit while there are enough requests.
func TestGrantsUseTheLimit(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{0.5, 3.7, 40} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			a := ratelimit.NewAllocator()
			const seconds = 60
			granted := 0
			for d := time.Duration(0); d < seconds*time.Second; d += 5 * time.Millisecond {
				if a.Decide(ratelimit.Question{Replica: engine}, rate, at(d)).Granted {
					granted++
				}
			}
			is.True(float64(granted) >= 0.95*rate*seconds)
			is.True(float64(granted) <= rate*seconds+1+rate/4+1)
		})
	}
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a := ratelimit.NewAllocator()
	decide := func(urgent bool) bool {
		return a.Decide(ratelimit.Question{Replica: engine, Urgent: urgent}, 1, start).Granted
	}
	is.True(decide(false))
	is.True(!decide(false))
	is.True(decide(true))
	is.True(decide(true))
	is.True(!decide(true))
	// The others wait until the rate is kept again.
	is.True(!a.Decide(ratelimit.Question{Replica: engine}, 1, at(2*time.Second)).Granted)
	is.True(a.Decide(ratelimit.Question{Replica: engine}, 1, at(3*time.Second)).Granted)
}
