package settings

import (
	"encoding/json"
	"strconv"
	"time"
)

// Duration is a time.Duration that JSON writes as text, such as "250ms".
type Duration time.Duration

// D returns the duration as the standard library's type.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(time.Duration(d).String())), nil
}

// UnmarshalJSON reads the duration from text.
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

// Settings are all that a daemon is told at its start.
type Settings struct {
	// Name is the host's name, unique among all hosts.
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	// CallerAddress, OperatorAddress and PeerAddress are IP:port pairs.
	CallerAddress   string `json:"caller_address"`
	OperatorAddress string `json:"operator_address"`
	PeerAddress     string `json:"peer_address"`
	// OperatorTLS makes operators show a certificate on loopback, too;
	// beyond loopback they always do.
	OperatorTLS bool `json:"operator_tls"`
	// SeedPeers are the peer addresses of some other entry hosts, of which a
	// fresh host learns the rules and the hosts while the platform is down.
	SeedPeers []string `json:"seed_peers"`
	// PlatformURL is the base URL of the platform.
	PlatformURL string `json:"platform_url"`
	TLS         TLS    `json:"tls"`
	Log         Log    `json:"log"`
	Limits      Limits `json:"limits"`
	Times       Times  `json:"times"`
}

// TLS names the files of the host's key material, all PEM.
type TLS struct {
	CAFile   string `json:"ca_file"`
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
}

// Log says how to log.
type Log struct {
	// Format is json or text.
	Format string `json:"format"`
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

// Limits bound sizes and numbers.
type Limits struct {
	BodyBytes    int `json:"body_bytes"`
	PromptBytes  int `json:"prompt_bytes"`
	Tokens       int `json:"tokens"`
	Streams      int `json:"streams"`
	Calls        int `json:"calls"`
	Keys         int `json:"keys"`
	KeptAnswer   int `json:"kept_answer_bytes"`
	Attempts     int `json:"attempts"`
	KeysPerFetch int `json:"keys_per_fetch"`
}

// Times bound waits.
type Times struct {
	// EntriesValid is how long callers may keep the answer to which
	// addresses to use.
	EntriesValid Duration `json:"entries_valid"`
	// KeyLife is how long an issued idempotency key may be used.
	KeyLife Duration `json:"key_life"`
	// FirstGap and TokenGap bound waits for an engine's tokens. After a
	// silence of ProbeAfter it is asked whether it is there, and must say so
	// within Probe.
	FirstGap   Duration `json:"first_gap"`
	TokenGap   Duration `json:"token_gap"`
	ProbeAfter Duration `json:"probe_after"`
	Probe      Duration `json:"probe"`
	// RouteWait bounds the wait for a route when none is at hand.
	RouteWait Duration `json:"route_wait"`
	// StatusEvery is the time between two reads of an engine's status, and
	// StatusLife how long one counts.
	StatusEvery Duration `json:"status_every"`
	StatusLife  Duration `json:"status_life"`
	// HostsEvery is the time between two reads of the platform's list.
	HostsEvery Duration `json:"hosts_every"`
	// SuspectLife is how long an endpoint that failed is avoided.
	SuspectLife Duration `json:"suspect_life"`
	// Platform and Peer bound one call to the platform and to a peer.
	Platform Duration `json:"platform"`
	Peer     Duration `json:"peer"`
	// GossipEvery is the time between two exchanges with other hosts.
	GossipEvery Duration `json:"gossip_every"`
	// LeaseTerm is how long the holder of the lease may act behind a
	// renewal, LeaseMargin how much longer a challenger waits, and
	// LeaseRenew the time between two renewals.
	LeaseTerm   Duration `json:"lease_term"`
	LeaseMargin Duration `json:"lease_margin"`
	LeaseRenew  Duration `json:"lease_renew"`
	// CheckpointEvery is the time between two checkpoints in the log. It
	// must be well under the time for which the log keeps records.
	CheckpointEvery Duration `json:"checkpoint_every"`
	// Read and Write bound a caller's connection.
	Read  Duration `json:"read"`
	Write Duration `json:"write"`
	// Drain bounds a graceful stop.
	Drain Duration `json:"drain"`
}

// Default returns settings in which only names, addresses and key material
// are missing.
func Default() Settings {
	return Settings{
		Log: Log{Format: "json", Level: "info"},
		Limits: Limits{
			BodyBytes: 1 << 20, PromptBytes: 256 << 10, Tokens: 4096, Streams: 4000, Calls: 4000,
			Keys: 200_000, KeptAnswer: 16 << 10, Attempts: 6, KeysPerFetch: 100,
		},
		Times: Times{
			EntriesValid: sec(5), KeyLife: sec(600),
			FirstGap: sec(10), TokenGap: sec(5), ProbeAfter: ms(250), Probe: ms(250), RouteWait: sec(5),
			StatusEvery: sec(1), StatusLife: sec(5), HostsEvery: ms(500), SuspectLife: sec(1),
			Platform: sec(4), Peer: sec(2), GossipEvery: ms(250),
			LeaseTerm: sec(5), LeaseMargin: sec(1), LeaseRenew: ms(1500), CheckpointEvery: sec(60),
			Read: sec(30), Write: sec(4000), Drain: sec(120),
		},
	}
}

func ms(n int) Duration  { return Duration(time.Duration(n) * time.Millisecond) }
func sec(n int) Duration { return Duration(time.Duration(n) * time.Second) }
