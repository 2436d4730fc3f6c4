package feed_test

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		// Use a fixed seed unless one is given, so that runs are reproducible.
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}
