package lease

// Action says what a record asks for.
type Action string

// The actions of lease records.
const (
	ActionClaim   Action = "claim"
	ActionRenew   Action = "renew"
	ActionRelease Action = "release"
)

// Record is one record of the lease.
type Record struct {
	ID     string `json:"id"`
	Action Action `json:"action"`
	// Holder is the host's name and incarnation, as one text.
	Holder string `json:"holder"`
	// After is, for a claim, the offset of the last accepted record that the
	// writer saw; 0 if it saw none.
	After int64 `json:"after"`
	// Grant is, for the others, the grant that they belong to.
	Grant int64 `json:"grant"`
}

// State is the lease as of some offset of the log.
type State struct {
	// Holder is "" while nobody holds the lease.
	Holder string `json:"holder"`
	// Grant is the offset of the last accepted claim: the fencing number.
	Grant int64 `json:"grant"`
	// Last is the offset of the last accepted record.
	Last int64 `json:"last"`
}

// Apply returns the state behind a record that stands at an offset, and
// whether the record was accepted.
func (s State) Apply(offset int64, r Record) (State, bool) {
	if offset <= s.Last {
		return s, false
	}
	switch r.Action {
	case ActionClaim:
		if r.After != s.Last {
			return s, false
		}
		return State{Holder: r.Holder, Grant: offset, Last: offset}, true
	case ActionRenew:
		if r.Grant != s.Grant || r.Holder != s.Holder {
			return s, false
		}
		s.Last = offset
		return s, true
	case ActionRelease:
		if r.Grant != s.Grant || r.Holder != s.Holder {
			return s, false
		}
		return State{Grant: s.Grant, Last: offset}, true
	}
	return s, false
}
