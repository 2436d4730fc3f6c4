package feed

import "time"

// Change is the newest value of a key. An empty Value means that the key was
// deleted.
type Change struct {
	Offset int64  `cbor:"offset"`
	Key    string `cbor:"key"`
	Value  []byte `cbor:"value,omitempty"`
}

// Page is a sequence of changes, all in one era of the store. Next is the offset at
// which the following page begins.
type Page struct {
	Changes []Change `cbor:"changes,omitempty"`
	Era     int64    `cbor:"era,omitempty"`
	Next    int64    `cbor:"next"`
	// Partial is set if the store had further changes when the page was read from it. It is
	// never relayed.
	Partial bool `cbor:"-"`
	// Skipped lists the changes that this host has read but cannot hold. It is never
	// relayed.
	Skipped []Skipped `cbor:"-"`
}

// Skipped is a change whose value is too large for this host.
type Skipped struct {
	Offset int64
	Key    string
	// Bytes is the size of the value.
	Bytes int64
}

// End returns the position at which the following page begins.
func (p Page) End() Position { return Position{Era: p.Era, Offset: p.Next} }

// Request asks a host for what it has read of a topic.
type Request struct {
	Topic string `cbor:"topic"`
	// Next is the offset of the first change that the follower lacks, or -1 if
	// it has none, and Era its era of the store.
	Next int64 `cbor:"next"`
	Era  int64 `cbor:"era,omitempty"`
	// KnowsEras is set by hosts that know the eras of the store. A host of an older
	// version takes offsets of all eras for those of one.
	KnowsEras bool `cbor:"knows_eras,omitempty"`
	// CurrentAsOf is the latest time, by the answering host's clock, as of
	// which that host has reported the topic to be current.
	CurrentAsOf time.Duration `cbor:"proved"`
	// Generation is the generation of the group members that the follower knows, and
	// GroupEra its era of the store.
	Generation int64 `cbor:"generation"`
	GroupEra   int64 `cbor:"group_era,omitempty"`
	// MemberCount is the number of members that the follower knows of that generation, or
	// 0 from a host of an older version, which replaces them with a newer generation only.
	MemberCount int `cbor:"member_count,omitempty"`
	// Wait bounds how long the host may hold the request until there are
	// changes.
	Wait time.Duration `cbor:"wait"`
	// WaitForReader is set if the follower cannot read the store itself, so
	// that an unusable response does not help it: the host holds the request
	// until it reads the store again.
	WaitForReader bool `cbor:"patient,omitempty"`
}

// position returns the position of the first change that the follower lacks. An older
// version asks in the era of this host.
func (r Request) position(era int64) Position {
	if r.KnowsEras {
		era = r.Era
	}
	return Position{Era: era, Offset: r.Next}
}

// members returns the generation of the members that the follower knows. An older version
// knows those of the era of this host.
func (r Request) members(era int64) Generation {
	if r.KnowsEras {
		era = r.GroupEra
	}
	return Generation{Era: era, Number: r.Generation}
}

// memberCount returns how many members the follower knows, or all for an older version.
func (r Request) memberCount(all int) int {
	if r.MemberCount == 0 {
		return all
	}
	return r.MemberCount
}

// Members lists the hosts of the group in one generation, which is of an era of the
// store.
type Members struct {
	Era        int64    `cbor:"era,omitempty"`
	Generation int64    `cbor:"generation"`
	Names      []string `cbor:"names"`
}

// Supersedes reports whether a list of members replaces one that has the given generation
// and number of names. Members of one generation become visible one after the other, so
// of two lists of a generation the longer one was read later.
func (m Members) Supersedes(at Generation, names int) bool {
	order := m.At().Compare(at)
	return order > 0 || order == 0 && len(m.Names) > names
}

// At returns the generation of the members.
func (m Members) At() Generation { return Generation{Era: m.Era, Number: m.Generation} }

// Response is what a host has read of a topic.
type Response struct {
	// Host identifies the incarnation of the answering host.
	Host string `cbor:"host"`
	// Direct is set if the host reads the topic from the store itself, and KnowsEras if
	// it knows the eras of the store.
	Direct    bool `cbor:"direct"`
	KnowsEras bool `cbor:"knows_eras,omitempty"`
	// Snapshot is set if the page has the newest change of every key instead of
	// the changes from the requested offset on.
	Snapshot bool `cbor:"whole"`
	// Settled is set if the store has all that it ever acknowledged to the operator, which
	// may not be so right after it was restored.
	Settled bool `cbor:"settled,omitempty"`
	// Page holds the changes. If they are large, they are in Compressed
	// instead.
	Page       Page   `cbor:"page"`
	Compressed []byte `cbor:"packed,omitempty"`
	// Fetch is set if the page is too large to be relayed, so that the follower
	// must read it from the store.
	Fetch bool `cbor:"fetch,omitempty"`
	// Members is set if the follower knows an older generation, or fewer members of it.
	Members *Members `cbor:"members,omitempty"`
	// Now is when the host answered, CurrentAsOf when it sent the read that
	// brought the page up to date, and StoreReachedAt when it sent the last
	// call that the store answered. All are by the host's clock.
	Now            time.Duration `cbor:"now"`
	CurrentAsOf    time.Duration `cbor:"proved"`
	StoreReachedAt time.Duration `cbor:"reached"`
}

// StoreReachTTL is how long after its last successful store call a host is
// assumed to receive all changes.
const StoreReachTTL = time.Second

// readerStartGrace is how long a host has to start reading the store after a
// follower's first request.
const readerStartGrace = 200 * time.Millisecond

// Usable reports whether a follower at the given position may rely on the
// response.
func (r Response) Usable(next Position) bool {
	return r.Direct && r.KnowsEras && r.Now-r.StoreReachedAt < StoreReachTTL && r.Page.End().Compare(next) >= 0
}

// ClockOffset is an upper bound on how far the clock of one other host is ahead
// of this host's. The zero value has no bound yet.
type ClockOffset struct {
	host     string
	maxAhead time.Duration
}

// AddSample updates the bound from the response to a request that was sent at
// the given time of this host's clock. The response was created after that, so
// the other clock is ahead by at most the difference between the two times. The
// smallest difference seen is kept, until the host's incarnation changes.
func (o *ClockOffset) AddSample(r Response, sent time.Duration) {
	ahead := r.Now - sent
	if o.host != r.Host || ahead < o.maxAhead {
		o.host = r.Host
		o.maxAhead = ahead
	}
}

// ToLocal converts a time of the other host's clock to this host's clock. The
// result is never later than the real time.
func (o *ClockOffset) ToLocal(at time.Duration) time.Duration { return at - o.maxAhead }
