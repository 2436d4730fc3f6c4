package lease

// Action is the kind of change that a record requests.
type Action string

// The actions of lease records.
const (
	ActionClaim   Action = "claim"
	ActionRenew   Action = "renew"
	ActionRelease Action = "release"
)

// Record is a lease record in the log.
type Record struct {
	ID     string `json:"id"`
	Action Action `json:"action"`
	// Holder is the host's name and incarnation in one string.
	Holder string `json:"holder"`
	// After is, in a claim, the offset of the last accepted record that the
	// writer saw, or 0 if there was none.
	After int64 `json:"after"`
	// Grant is, in a renewal or release, the grant that it applies to.
	Grant int64 `json:"grant"`
}

// State is the state of the lease at an offset of the log.
type State struct {
	// Holder is "" if no host holds the lease.
	Holder string `json:"holder"`
	// Grant is the offset of the last accepted claim, which is the fencing
	// token.
	Grant int64 `json:"grant"`
	// Last is the offset of the last accepted record.
	Last int64 `json:"last"`
}

// Apply returns the state after the record at an offset, and whether the record
// was accepted.
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
