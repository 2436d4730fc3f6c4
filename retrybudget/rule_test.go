package retrybudget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushshed/retrybudget"
)

// step is one step of a history: a pause, and what happens after it.
type step struct {
	Pause time.Duration
	Do    string
	Host  int
	Other int
	N     int
	Fate  fate
	Delay time.Duration
}

// history is what happens to a fleet.
type history struct {
	Hosts   int
	Ratio   float64
	Extra   float64
	Partial bool
	// Calm is how long the fleet has run before.
	Calm  time.Duration
	Steps []step
}

// genHistory generates histories in which hosts use all tokens that they get.
func genHistory(t *rapid.T) history {
	h := history{
		Hosts:   rapid.IntRange(2, 6).Draw(t, "hosts"),
		Ratio:   rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(t, "ratio"),
		Extra:   rapid.SampledFrom([]float64{0, 4, 20, 60}).Draw(t, "extra"),
		Partial: rapid.Bool().Draw(t, "partial"),
		Calm:    rapid.SampledFrom([]time.Duration{0, 4 * time.Second, 30 * time.Second, 90 * time.Second}).Draw(t, "calm"),
	}
	// Some actions are listed more often, since they happen more often.
	actions := []string{
		"request", "request", "request", "retry", "retry", "retry", "retry", "retry all", "retry all", "borrow", "borrow", "borrow", "borrow all", "borrow all",
		"kill", "start", "start", "restart", "restart all", "freeze", "thaw", "cut", "heal", "leave", "leave all", "calm",
	}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		h.Steps = append(h.Steps, step{
			Pause: time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause_ms")) * time.Millisecond,
			Do:    rapid.SampledFrom(actions).Draw(t, "do"),
			Host:  rapid.IntRange(0, h.Hosts-1).Draw(t, "host"),
			Other: rapid.IntRange(0, h.Hosts-1).Draw(t, "other"),
			N:     rapid.IntRange(1, 60).Draw(t, "n"),
			Fate:  fate(rapid.IntRange(0, int(fates)-1).Draw(t, "fate")),
			Delay: time.Duration(rapid.IntRange(0, int(maxDelay/time.Millisecond)).Draw(t, "delay_ms")) * time.Millisecond,
		})
	}
	return h
}

// play runs a history with a seeded fault, and returns the window in which the rule does not
// hold.
func play(h history, seeded fault) error {
	f := newFleet(retrybudget.Options{Ratio: h.Ratio, Extra: h.Extra}, h.Hosts)
	f.partial, f.fault = h.Partial, seeded
	for i := range f.hosts {
		f.start(i)
	}
	f.advance(h.Calm)
	for _, s := range h.Steps {
		f.advance(s.Pause)
		f.do(s)
	}
	return f.check()
}

func (f *fleet) do(s step) {
	h := f.hosts[s.Host]
	switch s.Do {
	case "request":
		f.request(s.Host, s.N)
	case "retry":
		f.retry(s.Host, s.N, s.Delay)
	case "borrow":
		f.borrow(s.Host, s.Other, float64(s.N), s.Fate)
	case "kill":
		f.kill(s.Host)
	case "start":
		f.start(s.Host)
	case "freeze":
		h.frozen = true
	case "thaw":
		h.frozen = false
	case "cut":
		// Hosts up to the given one lose the store and the hosts after them.
		for i := range f.hosts {
			f.hosts[i].side = 0
			if i <= s.Host {
				f.hosts[i].side = 1
			}
		}
	case "leave":
		f.leave(s.Host)
	case "calm":
		f.advance(time.Duration(s.N) * 2 * time.Second)
	default:
		f.doAll(s)
	}
}

// doAll does a step that concerns several hosts.
func (f *fleet) doAll(s step) {
	switch s.Do {
	case "restart":
		f.kill(s.Host)
		f.start(s.Host)
	case "retry all":
		for i := range f.hosts {
			f.retry(i, 100, s.Delay)
		}
	case "borrow all":
		for i := range f.hosts {
			f.borrow(s.Host, i, float64(s.N), s.Fate)
		}
		f.retry(s.Host, 100, s.Delay)
	case "restart all":
		for i := range f.hosts {
			f.kill(i)
			f.start(i)
		}
	case "heal":
		for _, h := range f.hosts {
			h.side = 0
		}
	case "leave all":
		for i := range f.hosts {
			f.leave(i)
			f.advance(100 * time.Millisecond)
		}
	}
}

// The retries of all hosts stay within the rule in every window, whatever hosts stop,
// start, freeze or are cut off, and whatever becomes of loans.
func TestRuleHoldsInEveryWindow(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		if err := play(genHistory(t), faultNone); err != nil {
			t.Fatal(err)
		}
	})
}

// The histories are such that they find faults of the budget.
func TestHistoriesFindSeededFaults(t *testing.T) {
	t.Parallel()
	const histories = 3000
	generator := rapid.Custom(genHistory)
	for _, seeded := range []fault{faultUncharged, faultDoubleCredit, faultNoStart, faultForgets} {
		t.Run(string(seeded), func(t *testing.T) {
			t.Parallel()
			for seed := range histories {
				if err := play(generator.Example(seed), seeded); err != nil {
					t.Logf("found by history %d: %v", seed, err)
					return
				}
			}
			t.Errorf("got no window in which the rule does not hold in %d histories, want one", histories)
		})
	}
}
