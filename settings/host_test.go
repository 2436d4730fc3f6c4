package settings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/settings"
)

const validHostSettings = `{
  "caller_address": "10.1.0.40:8227", "ready_address": "10.1.0.40:8220", "directory_address": "10.1.0.40:8224", "peer_address": "10.1.0.40:7340",
  "metrics_address": "10.1.0.40:9464", "store_address": "10.200.1.7:8223", "memory_mb": 284, "processor_share": 0.4, "link_mbps": 1000, "revoke": "5000ms",
  "retry_ratio": 0.2, "retry_extra": 202, "failure_domain": "a", "name": "entry-1"
}`

func TestParseHostAppliesDefaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h, err := settings.ParseHost([]byte(validHostSettings))
	is.NoErr(err)
	is.Equal(h.Name, "entry-1")
	is.Equal(h.Revoke.D(), 5*time.Second)
	is.Equal(h.Grace.D(), 8*time.Second) // the default
	is.Equal(h.RequestMemoryBytes(), 71<<20)
	is.Equal(h.BodyGrace.D(), 20*time.Second)
	is.Equal(h.BodyBytesPerSecond, 16384)
}

// The bound on the memory of requests is a part of the host's memory, and a body must be
// allowed some time and require some rate.
func TestParseHostChecksRequestBounds(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ field, want string }{
		{`"request_memory_mb": 40`, ""},
		{`"request_memory_mb": -1`, `request_memory_mb: got "-1", want 1 to 284`},
		{`"request_memory_mb": 285`, `request_memory_mb: got "285", want 1 to 284`},
		{`"body_grace": "0s"`, `body_grace: got "0s", want a positive duration`},
		{`"body_bytes_per_second": 0`, `body_bytes_per_second: got "0", want 1 to 67108864`},
	} {
		t.Run(c.field, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h, err := settings.ParseHost([]byte(strings.Replace(validHostSettings, `"memory_mb"`, c.field+`, "memory_mb"`, 1)))
			if c.want == "" {
				is.NoErr(err)
				is.Equal(h.RequestMemoryBytes(), 40<<20)
				return
			}
			var e *settings.Error
			is.True(errors.As(err, &e))
			is.Equal(strings.Join(e.Faults, "; "), c.want)
		})
	}
}

// All faults of a file must be reported, not only the first.
func TestParseHostReportsAllFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	text := strings.NewReplacer(
		`"10.1.0.40:8227"`, `"there"`, `284`, `0`, `0.2,`, `3,`, `"a"`, `""`, `0.4,`, `0,`, `1000,`, `-1,`,
	).Replace(validHostSettings)
	_, err := settings.ParseHost([]byte(text))
	var e *settings.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, settings.KindFaulty)
	is.Equal(len(e.Faults), 6)
}

func FuzzParseHost(f *testing.F) {
	f.Add([]byte(validHostSettings))
	f.Add([]byte(`{"name": 1}`))
	f.Add([]byte(`{"revoke": "ms"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		h, err := settings.ParseHost(text)
		if err == nil && (h.Name == "" || h.MemoryMB < 1 || h.Revoke <= 0) {
			t.Fatalf("got %+v, want valid settings", h)
		}
	})
}
