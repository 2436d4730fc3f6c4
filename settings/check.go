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

// Kind says what sort of failure an Error is.
type Kind string

// The kinds of Error.
const (
	KindUnreadable Kind = "unreadable"
	KindFaulty     Kind = "faulty"
)

// Error holds every fault of a settings file.
type Error struct {
	Op     string
	Kind   Kind
	Faults []string
}

var _ error = (*Error)(nil)

// Error lists the faults, one a line.
func (e *Error) Error() string {
	return fmt.Sprintf("settings %s: %s\n%s", e.Op, e.Kind, strings.Join(e.Faults, "\n"))
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Op: "load", Kind: KindUnreadable, Faults: []string{err.Error()}}
	}
	return Parse(text)
}

// Parse reads settings over the defaults and checks every field.
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

// checker gathers faults.
type checker struct{ faults []string }

func (c *checker) wrong(field, got, want string) {
	c.faults = append(c.faults, fmt.Sprintf("%s: got %q, want %s", field, got, want))
}

func (c *checker) text(field, got string) {
	if got == "" {
		c.wrong(field, got, "some text")
	}
}

func (c *checker) address(field, got string) {
	if _, err := netip.ParseAddrPort(got); err != nil {
		c.wrong(field, got, "an IP address and a port, such as 127.0.1.1:8080")
	}
}

func (c *checker) oneOf(field, got string, want ...string) {
	if !slices.Contains(want, got) {
		c.wrong(field, got, "one of "+strings.Join(want, ", "))
	}
}

func (c *checker) url(field, got string) {
	u, err := url.Parse(got)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		c.wrong(field, got, "a URL such as http://127.0.0.1:9000")
	}
}

// number wants a value between 1 and limit.
func (c *checker) number(field string, got, limit int) {
	if got < 1 || got > limit {
		c.wrong(field, fmt.Sprint(got), fmt.Sprintf("1 to %d", limit))
	}
}

func (c *checker) duration(field string, got Duration) {
	if got <= 0 {
		c.wrong(field, got.D().String(), "a time above 0")
	}
}

func (s Settings) faults() []string {
	c := &checker{}
	c.text("name", s.Name)
	c.text("failure_domain", s.FailureDomain)
	c.address("caller_address", s.CallerAddress)
	c.address("operator_address", s.OperatorAddress)
	c.address("peer_address", s.PeerAddress)
	for n, a := range s.SeedPeers {
		c.address(fmt.Sprintf("seed_peers[%d]", n), a)
	}
	c.url("platform_url", s.PlatformURL)
	c.text("tls.ca_file", s.TLS.CAFile)
	c.text("tls.cert_file", s.TLS.CertFile)
	c.text("tls.key_file", s.TLS.KeyFile)
	c.oneOf("log.format", s.Log.Format, "json", "text")
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	s.Limits.check(c)
	s.Times.check(c)
	return c.faults
}

const (
	maxBytes = 64 << 20
	maxCount = 10_000_000
)

func (l Limits) check(c *checker) {
	c.number("limits.body_bytes", l.BodyBytes, maxBytes)
	c.number("limits.prompt_bytes", l.PromptBytes, maxBytes)
	c.number("limits.kept_answer_bytes", l.KeptAnswer, maxBytes)
	c.number("limits.tokens", l.Tokens, maxCount)
	c.number("limits.streams", l.Streams, maxCount)
	c.number("limits.calls", l.Calls, maxCount)
	c.number("limits.keys", l.Keys, maxCount)
	c.number("limits.attempts", l.Attempts, 100)
	c.number("limits.keys_per_fetch", l.KeysPerFetch, 1000)
}

func (t Times) check(c *checker) {
	fields := []struct {
		name string
		got  Duration
	}{
		{"entries_valid", t.EntriesValid},
		{"key_life", t.KeyLife},
		{"first_gap", t.FirstGap},
		{"token_gap", t.TokenGap},
		{"probe_after", t.ProbeAfter},
		{"probe", t.Probe},
		{"route_wait", t.RouteWait},
		{"status_every", t.StatusEvery},
		{"status_life", t.StatusLife},
		{"hosts_every", t.HostsEvery},
		{"suspect_life", t.SuspectLife},
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
		c.duration("times."+f.name, f.got)
	}
	if t.LeaseRenew*2 > t.LeaseTerm {
		c.wrong("times.lease_renew", t.LeaseRenew.D().String(), "at most half of times.lease_term")
	}
	if t.StatusLife <= t.StatusEvery {
		c.wrong("times.status_life", t.StatusLife.D().String(), "more than times.status_every")
	}
}
