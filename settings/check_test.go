package settings_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bulrushshed/settings"
)

const validSettings = `{
  "name": "entry-1", "failure_domain": "a",
  "caller_address": "127.0.1.1:8080", "operator_address": "127.0.1.1:8081", "peer_address": "127.0.1.1:8082",
  "platform_url": "http://127.0.0.1:9000",
  "tls": {"ca_file": "ca.crt", "cert_file": "entry-1.crt", "key_file": "entry-1.key"}
}`

func TestParseAppliesDefaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, err := settings.Parse([]byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Name, "entry-1")
	is.Equal(s.Times.KeyTTL, settings.Default().Times.KeyTTL)
}

// Each case replaces a part of valid settings and lists all faults that must be
// reported.
func TestParseReportsAllFaults(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ old, replacement, want string }{
		{`"name": "entry-1"`, `"label": "entry-1"`, `json: unknown field "label"`},
		{`"name": "entry-1"`, `"name": ""`, `name: got "", want a non-empty string`},
		{`127.0.1.1:8080`, `localhost:8080`, `caller_address: got "localhost:8080", want an IP address and a port, such as 127.0.1.1:8080`},
		{`http://127.0.0.1:9000`, `ftp://x`, `platform_url: got "ftp://x", want a URL such as http://127.0.0.1:9000`},
		{
			`"name": "entry-1",`, `"name": "", "times": {"lease_renew": "4s"}, "limits": {"keys": -1},`,
			`name: got "", want a non-empty string; limits.keys: got "-1", want 1 to 10000000; times.lease_renew: got "4s", want at most half of times.lease_term`,
		},
		{
			`"name": "entry-1",`, `"name": "entry-1", "seed_peers": ["x"],`,
			`seed_peers[0]: got "x", want an IP address and a port, such as 127.0.1.1:8080`,
		},
		{
			`"name": "entry-1",`, `"name": "entry-1", "limits": {"request_memory_mb": 0, "connections": -1},`,
			`limits.request_memory_mb: got "0", want 1 to 1048576; limits.connections: got "-1", want 0 to 10000000`,
		},
		{`"name": "entry-1",`, `"name": "entry-1", "times": {"probe": "0s"},`, `times.probe: got "0s", want a positive duration`},
	} {
		t.Run(c.replacement, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, err := settings.Parse([]byte(strings.Replace(validSettings, c.old, c.replacement, 1)))
			var e *settings.Error
			is.True(errors.As(err, &e))
			is.Equal(strings.Join(e.Faults, "; "), c.want)
		})
	}
}
