package feed_test

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		// A run without a seed of its own repeats the last one.
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}
