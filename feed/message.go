package feed

import "time"

// Change is the newest value of a key, or its end if Value is empty.
type Change struct {
	Offset int64  `cbor:"offset"`
	Key    string `cbor:"key"`
	Value  []byte `cbor:"value,omitempty"`
}

// Page is a run of changes; Next is where the next one begins.
type Page struct {
	Changes []Change `cbor:"changes,omitempty"`
	Next    int64    `cbor:"next"`
}

// Request asks a host for what it has read of a topic.
type Request struct {
	Topic string `cbor:"topic"`
	// Next is where the first change begins that the asker lacks; -1 for one
	// that has none.
	Next int64 `cbor:"next"`
	// Proved is the newest proof that the asker had from the host, by the
	// host's clock.
	Proved time.Duration `cbor:"proved"`
	// Generation is that of the members that the asker knows.
	Generation int64 `cbor:"generation"`
	// Wait bounds how long the answer may wait for news.
	Wait time.Duration `cbor:"wait"`
	// Patient is set if the asker can't read the store, so that an answer of
	// no use does not help it: it waits until the other host reads it again.
	Patient bool `cbor:"patient,omitempty"`
}

// Members are those of the group of hosts, in one generation of it.
type Members struct {
	Generation int64    `cbor:"generation"`
	Names      []string `cbor:"names"`
}

// Response is what a host has read of a topic.
type Response struct {
	// Host names the host, in its incarnation.
	Host string `cbor:"host"`
	// Direct is set if the host reads the topic in the store itself.
	Direct bool `cbor:"direct"`
	// Whole is set if the page has the newest change of each key, and not
	// those behind the asker's offset.
	Whole bool `cbor:"whole"`
	// Page is the news; its changes are in Packed if there are many of them.
	Page   Page   `cbor:"page"`
	Packed []byte `cbor:"packed,omitempty"`
	// Fetch is set if the news is too large to be passed on, so that the asker
	// is to read it in the store.
	Fetch bool `cbor:"fetch,omitempty"`
	// Members are set if the asker knows an older generation.
	Members *Members `cbor:"members,omitempty"`
	// Now is when the host answered, Proved when it asked for the news that
	// brought the page up to date, and Reached when it last sent a call that
	// the store answered, all by its clock.
	Now     time.Duration `cbor:"now"`
	Proved  time.Duration `cbor:"proved"`
	Reached time.Duration `cbor:"reached"`
}

// ReachTerm is how long a host that reached the store counts as one that hears of
// all its news.
const ReachTerm = time.Second

// beginTime is how long a host that is asked for the first time has to begin to read
// the store.
const beginTime = 200 * time.Millisecond

// Usable reports whether an asker that has come to an offset may go by the answer.
func (a Response) Usable(next int64) bool {
	return a.Direct && a.Now-a.Reached < ReachTerm && a.Page.Next >= next
}

// Offset bounds by how much the clock of one other host is ahead of this host's.
// The zero value knows nothing.
type Offset struct {
	host  string
	bound time.Duration
}

// Learn takes an answer to a question that was sent at a time of this host's clock.
// The answer was given later than that, so the clock is ahead by no more than the
// difference; the least of them is kept for each incarnation.
func (o *Offset) Learn(a Response, sent time.Duration) {
	ahead := a.Now - sent
	if o.host != a.Host || ahead < o.bound {
		o.host = a.Host
		o.bound = ahead
	}
}

// Own returns a time of the other host's clock by this host's clock, or an
// earlier one.
func (o *Offset) Own(at time.Duration) time.Duration { return at - o.bound }
