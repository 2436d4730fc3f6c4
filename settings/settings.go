package settings

import (
	"encoding/json"
	"strconv"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as text, such as "250ms".
type Duration time.Duration

// D converts the duration to a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalJSON encodes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(time.Duration(d).String())), nil
}

// UnmarshalJSON decodes the duration from text.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return err
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Settings is the content of the settings file of package daemon.
type Settings struct {
	// Name is the host's name, unique among all hosts.
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	// CallerAddress, OperatorAddress and PeerAddress are IP:port pairs.
	CallerAddress   string `json:"caller_address"`
	OperatorAddress string `json:"operator_address"`
	PeerAddress     string `json:"peer_address"`
	// OperatorTLS requires operators to present a client certificate on
	// loopback addresses, too. On other addresses it is always required.
	OperatorTLS bool `json:"operator_tls"`
	// SeedPeers are the peer addresses of some other entry hosts. A new host
	// learns the rules and the list of hosts from them while the platform is
	// down.
	SeedPeers []string `json:"seed_peers"`
	// PlatformURL is the base URL of the platform.
	PlatformURL string `json:"platform_url"`
	TLS         TLS    `json:"tls"`
	Log         Log    `json:"log"`
	Limits      Limits `json:"limits"`
	Times       Times  `json:"times"`
}

// TLS holds the paths of the host's certificates and key, in PEM format.
type TLS struct {
	CAFile   string `json:"ca_file"`
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
}

// Log configures logging.
type Log struct {
	// Format is json or text.
	Format string `json:"format"`
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

// Limits bounds sizes and counts.
type Limits struct {
	// BodyBytes and PromptBytes bound the body and the prompt of a request, and
	// Tokens the number of tokens that a completion may request.
	BodyBytes   int `json:"body_bytes"`
	PromptBytes int `json:"prompt_bytes"`
	Tokens      int `json:"tokens"`
	// Streams bounds the completions that run concurrently for one model, and
	// Calls the calls of plain services that run concurrently.
	Streams int `json:"streams"`
	Calls   int `json:"calls"`
	// Keys bounds the idempotency keys that are remembered, and KeptAnswerBytes
	// the answer that is kept for each.
	Keys            int `json:"keys"`
	KeptAnswerBytes int `json:"kept_answer_bytes"`
	// Attempts bounds the attempts of one request.
	Attempts int `json:"attempts"`
	// KeysPerFetch bounds the idempotency keys that a caller may request at once.
	KeysPerFetch int `json:"keys_per_fetch"`
	// RequestMemoryMB bounds the memory, in MiB, of the requests that are being read or
	// served.
	RequestMemoryMB int `json:"request_memory_mb"`
	// Connections bounds the connections of callers; 0 means 0.7 of the descriptors that
	// the process may use for sockets.
	Connections int `json:"connections"`
}

// Times holds timeouts, lifetimes and intervals.
type Times struct {
	// EntriesValid is how long callers may cache the list of entry hosts.
	EntriesValid Duration `json:"entries_valid"`
	// KeyTTL is the validity of an issued idempotency key.
	KeyTTL Duration `json:"key_life"`
	// FirstGap bounds the wait for an engine's first token, and TokenGap that
	// for each later one. An engine that was silent for ProbeAfter is probed,
	// and must respond within Probe.
	FirstGap   Duration `json:"first_gap"`
	TokenGap   Duration `json:"token_gap"`
	ProbeAfter Duration `json:"probe_after"`
	Probe      Duration `json:"probe"`
	// RouteWait bounds the wait for a route if none is available.
	RouteWait Duration `json:"route_wait"`
	// StatusEvery is the interval at which an engine's status is polled, and
	// StatusTTL how long a status is considered valid.
	StatusEvery Duration `json:"status_every"`
	StatusTTL   Duration `json:"status_life"`
	// HostsEvery is the interval at which the platform's list of hosts is
	// polled.
	HostsEvery Duration `json:"hosts_every"`
	// SuspectTTL is how long an endpoint is avoided after a failure.
	SuspectTTL Duration `json:"suspect_life"`
	// Platform and Peer are the timeouts of one call to the platform and to a
	// peer.
	Platform Duration `json:"platform"`
	Peer     Duration `json:"peer"`
	// GossipEvery is the interval between two gossip exchanges.
	GossipEvery Duration `json:"gossip_every"`
	// LeaseTerm is how long the lease is valid after a renewal, LeaseMargin
	// how much longer another host waits before it claims the lease, and
	// LeaseRenew the interval between two renewals.
	LeaseTerm   Duration `json:"lease_term"`
	LeaseMargin Duration `json:"lease_margin"`
	LeaseRenew  Duration `json:"lease_renew"`
	// CheckpointEvery is the interval between two checkpoints in the log. It
	// must be well below the retention time of the log.
	CheckpointEvery Duration `json:"checkpoint_every"`
	// Read bounds the time from the first byte of a caller's request to the end of its
	// header. Write has no effect: a caller must accept more bytes of an answer within a
	// fixed time, however long the answer lasts.
	Read  Duration `json:"read"`
	Write Duration `json:"write"`
	// Drain bounds a graceful shutdown.
	Drain Duration `json:"drain"`
}

// Default returns the defaults of all fields except names, addresses and key
// material.
func Default() Settings {
	return Settings{
		Log: Log{Format: "json", Level: "info"},
		Limits: Limits{
			BodyBytes: 1 << 20, PromptBytes: 256 << 10, Tokens: 4096, Streams: 4000, Calls: 4000,
			Keys: 200_000, KeptAnswerBytes: 16 << 10, Attempts: 6, KeysPerFetch: 100,
			RequestMemoryMB: 64,
		},
		Times: Times{
			EntriesValid: seconds(5), KeyTTL: seconds(600),
			FirstGap: seconds(10), TokenGap: seconds(5), ProbeAfter: milliseconds(250), Probe: milliseconds(250), RouteWait: seconds(5),
			StatusEvery: seconds(1), StatusTTL: seconds(5), HostsEvery: milliseconds(500), SuspectTTL: seconds(1),
			Platform: seconds(4), Peer: seconds(2), GossipEvery: milliseconds(250),
			LeaseTerm: seconds(5), LeaseMargin: seconds(1), LeaseRenew: milliseconds(1500), CheckpointEvery: seconds(60),
			Read: seconds(30), Write: seconds(4000), Drain: seconds(120),
		},
	}
}

func milliseconds(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
func seconds(n int) Duration      { return Duration(time.Duration(n) * time.Second) }
