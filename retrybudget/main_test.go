package retrybudget_test

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		// Use a fixed seed by default, so that runs are reproducible.
		_ = f.Value.Set("20261206")
	}
	os.Exit(m.Run())
}
