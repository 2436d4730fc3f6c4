package feed

import "time"

// Change is the newest value of a key. An empty Value means that the key was
// deleted.
type Change struct {
	Offset int64  `cbor:"offset"`
	Key    string `cbor:"key"`
	Value  []byte `cbor:"value,omitempty"`
}

// Page is a sequence of changes. Next is the offset at which the following page
// begins.
type Page struct {
	Changes []Change `cbor:"changes,omitempty"`
	Next    int64    `cbor:"next"`
}

// Request asks a host for what it has read of a topic.
type Request struct {
	Topic string `cbor:"topic"`
	// Next is the offset of the first change that the follower lacks, or -1 if
	// it has none.
	Next int64 `cbor:"next"`
	// CurrentAsOf is the latest time, by the answering host's clock, as of
	// which that host has reported the topic to be current.
	CurrentAsOf time.Duration `cbor:"proved"`
	// Generation is the generation of the group members that the follower
	// knows.
	Generation int64 `cbor:"generation"`
	// Wait bounds how long the host may hold the request until there are
	// changes.
	Wait time.Duration `cbor:"wait"`
	// WaitForReader is set if the follower cannot read the store itself, so
	// that an unusable response does not help it: the host holds the request
	// until it reads the store again.
	WaitForReader bool `cbor:"patient,omitempty"`
}

// Members lists the hosts of the group in one generation.
type Members struct {
	Generation int64    `cbor:"generation"`
	Names      []string `cbor:"names"`
}

// Response is what a host has read of a topic.
type Response struct {
	// Host identifies the incarnation of the answering host.
	Host string `cbor:"host"`
	// Direct is set if the host reads the topic from the store itself.
	Direct bool `cbor:"direct"`
	// Snapshot is set if the page has the newest change of every key instead of
	// the changes from the requested offset on.
	Snapshot bool `cbor:"whole"`
	// Page holds the changes. If they are large, they are in Compressed
	// instead.
	Page       Page   `cbor:"page"`
	Compressed []byte `cbor:"packed,omitempty"`
	// Fetch is set if the page is too large to be relayed, so that the follower
	// must read it from the store.
	Fetch bool `cbor:"fetch,omitempty"`
	// Members is set if the follower knows an older generation.
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

// Usable reports whether a follower at the given offset may rely on the
// response.
func (r Response) Usable(next int64) bool {
	return r.Direct && r.Now-r.StoreReachedAt < StoreReachTTL && r.Page.Next >= next
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
