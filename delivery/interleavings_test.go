package delivery_test

import (
	"flag"
	"os"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"bulrushshed/outcome"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		// A run without a seed of its own repeats the last one.
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// A call runs at most once, and what was refused as not run never runs, over
// interleavings of sends, repeats at other hosts, late copies, lost answers,
// deaths, graceful stops, log outages and expired keys.
func TestInterleavings(t *testing.T) {
	t.Parallel()
	counts := map[outcome.Kind]int{}
	rapid.Check(t, func(rt *rapid.T) {
		drawn := tape(rapid.SliceOfN(rapid.Byte(), 20, 160).Draw(rt, "tape"))
		var w *world
		var broken string
		synctest.Test(t, func(*testing.T) {
			w = newWorld(&drawn)
			for len(drawn) > 0 {
				w.step()
			}
			broken = w.verdict()
		})
		if broken != "" {
			rt.Fatal(broken)
		}
		for _, kinds := range w.told {
			for _, k := range kinds {
				counts[k]++
			}
		}
	})
	t.Logf("told: answered %d, not run %d, unknown %d",
		counts[outcome.Answered], counts[outcome.NotRun], counts[outcome.Unknown])
	if counts[outcome.Answered] == 0 || counts[outcome.NotRun] == 0 || counts[outcome.Unknown] == 0 {
		t.Fatalf("got %v, want some of each kind", counts)
	}
}
