package forward_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushshed/forward"
)

// In every window, the retries of all hosts together are at most Extra plus Ratio times
// the requests of that window and the one before.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	t.Parallel()
	const (
		window = 10 * time.Second
		hosts  = 3
		ratio  = 0.2
		extra  = 9.0
	)
	rapid.Check(t, func(t *rapid.T) {
		all := make([]*forward.Budget, hosts)
		for i := range all {
			all[i] = forward.NewBudget(forward.BudgetOptions{
				Ratio: ratio, Extra: extra, Window: window, Hosts: func() int { return hosts },
			})
		}
		now := time.Unix(1_000_000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			b := all[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest("s", now)
				requests = append(requests, now)
				continue
			}
			if b.AllowRetry("s", now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			spent := countBetween(retries, end.Add(-window), end)
			// Each retry was checked against the requests of the window before it.
			base := countBetween(requests, end.Add(-2*window), end)
			if allowed := ratio*float64(base) + extra; float64(spent) > allowed {
				t.Fatalf("got %d retries in the window to %v, want at most %f", spent, end, allowed)
			}
		}
	})
}

func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

func TestBudgetIsSharedAmongHosts(t *testing.T) {
	t.Parallel()
	b := forward.NewBudget(forward.BudgetOptions{Extra: 12, Window: 10 * time.Second, Hosts: func() int { return 4 }})
	now := time.Unix(1_000_000, 0)
	got := 0
	for range 20 {
		if b.AllowRetry("s", now) {
			got++
		}
	}
	if got != 3 {
		t.Fatalf("got %d retries, want 3", got)
	}
	if b.AllowRetry("s", now.Add(9*time.Second)) {
		t.Fatal("got a retry within the window, want none")
	}
	if !b.AllowRetry("s", now.Add(11*time.Second)) {
		t.Fatal("got no retry after the window, want one")
	}
}

// A host that restarts within a window does not get its share of Extra twice.
func TestBudgetIsEarnedOverAWindow(t *testing.T) {
	t.Parallel()
	began := time.Unix(1_000_000, 0)
	for after, want := range map[time.Duration]int{0: 0, 5 * time.Second: 6, 10 * time.Second: 12, time.Hour: 12} {
		b := forward.NewBudget(forward.BudgetOptions{
			Extra: 12, Window: 10 * time.Second, StartedAt: began, Hosts: func() int { return 1 },
		})
		got := 0
		for range 20 {
			if b.AllowRetry("s", began.Add(after)) {
				got++
			}
		}
		if got != want {
			t.Errorf("got %d retries %v after the start, want %d", got, after, want)
		}
	}
}
