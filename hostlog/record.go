package hostlog

import "encoding/json"

// RecordType is the type of a record's body.
type RecordType string

// The record types that the system writes to the log.
const (
	// RecordPublication carries a rule.Publication.
	RecordPublication RecordType = "publication"
	// RecordCheckpoint carries a publication.Snapshot.
	RecordCheckpoint RecordType = "checkpoint"
	// RecordOutcomes carries a claim.Batch.
	RecordOutcomes RecordType = "outcomes"
	// RecordLease carries a lease.Record.
	RecordLease RecordType = "lease"
)

// Entry is a record before it is appended.
type Entry struct {
	ID   string          `json:"id"`
	Type RecordType      `json:"type"`
	Body json.RawMessage `json:"body"`
	// Era is the era of the log that the writer knew, or 0 for the first one. A record
	// that a restored log has from its backup is so told from one that is newer.
	Era int64 `json:"era,omitempty"`
}

// Record is an entry with its position in the log: its offset, which starts at 1, in the
// era in which it was written (see [Position]).
type Record struct {
	Offset int64 `json:"offset"`
	Entry
}

// Page is a range of consecutive records. First is the oldest position that the
// log retains, and Next the position after the last record of the page, both in the
// current era.
type Page struct {
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
	// End is the position after the last record of the log when the page was read, in the
	// current era, or 0 if the platform does not tell it.
	End int64 `json:"end,omitempty"`
}

// ReachesEnd reports whether the log had no further records when the page was read. If the
// platform does not tell its end, only a page without records is known to reach it.
func (p Page) ReachesEnd() bool {
	if p.End > 0 {
		return p.Next >= p.End
	}
	return len(p.Records) == 0
}

// Role is what runs on a host.
type Role string

// The roles of hosts.
const (
	// RoleEntry is an entry host, which accepts callers' requests.
	RoleEntry Role = "entry"
	// RoleEngine is a model engine, which runs some layers of a model.
	RoleEngine Role = "engine"
	// RoleService is a replica of plain services, which run no model.
	RoleService Role = "service"
)

// State tells whether a host is leaving.
type State string

// The states of hosts.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one entry of the platform's host list, which lags behind the actual
// state.
type Host struct {
	Name string `json:"name"`
	// Address is the address that callers use if this is an entry host, and
	// that entry hosts use otherwise.
	Address string `json:"address"`
	// Peer is the address for other entry hosts, for RoleEntry.
	Peer          string `json:"peer,omitempty"`
	Role          Role   `json:"role"`
	FailureDomain string `json:"failure_domain"`
	State         State  `json:"state"`
	// Incarnation identifies one run of the host's process. A later run has a
	// higher number.
	Incarnation int64 `json:"incarnation"`
	// Serves lists the services that the host runs, for RoleService.
	Serves []string `json:"serves,omitempty"`
}
