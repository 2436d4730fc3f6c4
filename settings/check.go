package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindUnreadable means that the file cannot be read or decoded.
	KindUnreadable Kind = "unreadable"
	// KindFaulty means that some fields have invalid values.
	KindFaulty Kind = "faulty"
)

// Error holds all faults of a settings file.
type Error struct {
	Op     string
	Kind   Kind
	Faults []string
}

var _ error = (*Error)(nil)

// Error lists the faults, one per line.
func (e *Error) Error() string {
	return fmt.Sprintf("settings %s: %s\n%s", e.Op, e.Kind, strings.Join(e.Faults, "\n"))
}

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Op: "load", Kind: KindUnreadable, Faults: []string{err.Error()}}
	}
	return Parse(text)
}

// Parse decodes settings over the defaults and validates every field.
func Parse(text []byte) (Settings, error) {
	s := Default()
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, &Error{Op: "parse", Kind: KindUnreadable, Faults: []string{err.Error()}}
	}
	if faults := s.faults(); len(faults) > 0 {
		return Settings{}, &Error{Op: "check", Kind: KindFaulty, Faults: faults}
	}
	return s, nil
}

// checker collects faults.
type checker struct{ faults []string }

func (c *checker) addFault(field, got, want string) {
	c.faults = append(c.faults, fmt.Sprintf("%s: got %q, want %s", field, got, want))
}

func (c *checker) nonEmpty(field, got string) {
	if got == "" {
		c.addFault(field, got, "a non-empty string")
	}
}

func (c *checker) address(field, got string) {
	if _, err := netip.ParseAddrPort(got); err != nil {
		c.addFault(field, got, "an IP address and a port, such as 127.0.1.1:8080")
	}
}

func (c *checker) oneOf(field, got string, want ...string) {
	if !slices.Contains(want, got) {
		c.addFault(field, got, "one of "+strings.Join(want, ", "))
	}
}

func (c *checker) url(field, got string) {
	u, err := url.Parse(got)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		c.addFault(field, got, "a URL such as http://127.0.0.1:9000")
	}
}

// count requires a value from 1 to limit.
func (c *checker) count(field string, got, limit int) {
	if got < 1 || got > limit {
		c.addFault(field, fmt.Sprint(got), fmt.Sprintf("1 to %d", limit))
	}
}

// countOrZero requires a value from 0 to limit.
func (c *checker) countOrZero(field string, got, limit int) {
	if got < 0 || got > limit {
		c.addFault(field, fmt.Sprint(got), fmt.Sprintf("0 to %d", limit))
	}
}

func (c *checker) positive(field string, got Duration) {
	if got <= 0 {
		c.addFault(field, got.D().String(), "a positive duration")
	}
}

func (s Settings) faults() []string {
	c := &checker{}
	c.nonEmpty("name", s.Name)
	c.nonEmpty("failure_domain", s.FailureDomain)
	c.address("caller_address", s.CallerAddress)
	c.address("operator_address", s.OperatorAddress)
	c.address("peer_address", s.PeerAddress)
	for n, a := range s.SeedPeers {
		c.address(fmt.Sprintf("seed_peers[%d]", n), a)
	}
	c.url("platform_url", s.PlatformURL)
	c.nonEmpty("tls.ca_file", s.TLS.CAFile)
	c.nonEmpty("tls.cert_file", s.TLS.CertFile)
	c.nonEmpty("tls.key_file", s.TLS.KeyFile)
	c.oneOf("log.format", s.Log.Format, "json", "text")
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	s.Limits.check(c)
	s.Times.check(c)
	return c.faults
}

const (
	maxBytes = 64 << 20
	// maxMemoryMB is 1 TiB.
	maxMemoryMB = 1 << 20
	maxCount    = 10_000_000
)

func (l Limits) check(c *checker) {
	c.count("limits.body_bytes", l.BodyBytes, maxBytes)
	c.count("limits.prompt_bytes", l.PromptBytes, maxBytes)
	c.count("limits.kept_answer_bytes", l.KeptAnswerBytes, maxBytes)
	c.count("limits.tokens", l.Tokens, maxCount)
	c.count("limits.streams", l.Streams, maxCount)
	c.count("limits.calls", l.Calls, maxCount)
	c.count("limits.keys", l.Keys, maxCount)
	c.count("limits.attempts", l.Attempts, 100)
	c.count("limits.keys_per_fetch", l.KeysPerFetch, 1000)
	c.count("limits.request_memory_mb", l.RequestMemoryMB, maxMemoryMB)
	if l.Connections < 0 || l.Connections > maxCount {
		c.addFault("limits.connections", fmt.Sprint(l.Connections), fmt.Sprintf("0 to %d", maxCount))
	}
}

func (t Times) check(c *checker) {
	fields := []struct {
		name string
		got  Duration
	}{
		{"entries_valid", t.EntriesValid},
		{"key_life", t.KeyTTL},
		{"first_gap", t.FirstGap},
		{"token_gap", t.TokenGap},
		{"probe_after", t.ProbeAfter},
		{"probe", t.Probe},
		{"route_wait", t.RouteWait},
		{"status_every", t.StatusEvery},
		{"status_life", t.StatusTTL},
		{"hosts_every", t.HostsEvery},
		{"suspect_life", t.SuspectTTL},
		{"platform", t.Platform},
		{"peer", t.Peer},
		{"gossip_every", t.GossipEvery},
		{"lease_term", t.LeaseTerm},
		{"lease_margin", t.LeaseMargin},
		{"lease_renew", t.LeaseRenew},
		{"checkpoint_every", t.CheckpointEvery},
		{"read", t.Read},
		{"write", t.Write},
		{"drain", t.Drain},
	}
	for _, f := range fields {
		c.positive("times."+f.name, f.got)
	}
	if t.LeaseRenew*2 > t.LeaseTerm {
		c.addFault("times.lease_renew", t.LeaseRenew.D().String(), "at most half of times.lease_term")
	}
	if t.StatusTTL <= t.StatusEvery {
		c.addFault("times.status_life", t.StatusTTL.D().String(), "more than times.status_every")
	}
}
