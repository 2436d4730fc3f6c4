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
		// A fixed seed makes runs without -rapid.seed reproducible.
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// A call runs at most once, and a call reported as not run never runs, over random
// interleavings of sends, repeats at other hosts, late copies, lost answers,
// crashes, graceful stops, log outages and expired keys.
func TestInterleavings(t *testing.T) {
	t.Parallel()
	counts := map[outcome.Kind]int{}
	rapid.Check(t, func(rt *rapid.T) {
		drawn := choices(rapid.SliceOfN(rapid.Byte(), 20, 160).Draw(rt, "choices"))
		var sim *simulation
		var violation string
		synctest.Test(t, func(*testing.T) {
			sim = newSimulation(&drawn)
			for len(drawn) > 0 {
				sim.step()
			}
			violation = sim.checkInvariants()
		})
		if violation != "" {
			rt.Fatal(violation)
		}
		for _, kinds := range sim.reported {
			for _, k := range kinds {
				counts[k]++
			}
		}
	})
	t.Logf("reported: answered %d, not run %d, unknown %d",
		counts[outcome.Answered], counts[outcome.NotRun], counts[outcome.Unknown])
	if counts[outcome.Answered] == 0 || counts[outcome.NotRun] == 0 || counts[outcome.Unknown] == 0 {
		t.Fatalf("got counts %v, want at least one of each kind", counts)
	}
}
