package hostlog

import "encoding/json"

// RecordType says what the body of a record is.
type RecordType string

// The types of records that the system keeps in the log.
const (
	// RecordPublication carries a rule.Publication.
	RecordPublication RecordType = "publication"
	// RecordCheckpoint carries a rule.Checkpoint.
	RecordCheckpoint RecordType = "checkpoint"
	// RecordOutcomes carries a claim.Batch.
	RecordOutcomes RecordType = "outcomes"
	// RecordLease carries a lease record.
	RecordLease RecordType = "lease"
)

// Entry is a record that is yet to be appended.
type Entry struct {
	ID   string          `json:"id"`
	Type RecordType      `json:"type"`
	Body json.RawMessage `json:"body"`
}

// Record is an entry with its place in the log; offsets start at 1.
type Record struct {
	Offset int64 `json:"offset"`
	Entry
}

// Page is a run of records; First is the oldest offset that the log still
// keeps, and Next the one after the last record of the page.
type Page struct {
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// Role says what runs on a host.
type Role string

// The roles of hosts.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// State says whether a host stays or leaves.
type State string

// The states of hosts.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one line of the platform's list, which lags behind the truth.
type Host struct {
	Name string `json:"name"`
	// Address is where callers, or entry hosts, reach the host.
	Address string `json:"address"`
	// Peer is where entry hosts reach each other, for RoleEntry.
	Peer          string `json:"peer,omitempty"`
	Role          Role   `json:"role"`
	FailureDomain string `json:"failure_domain"`
	State         State  `json:"state"`
	Incarnation   int64  `json:"incarnation"`
	// Serves names the services that the host runs, for RoleService.
	Serves []string `json:"serves,omitempty"`
}
