package intake

import (
	"sync"
	"time"
)

const (
	// smallEntryBytes is the size up to which an entry is small, and 1/smallShare of the
	// capacity is reserved for small entries.
	smallEntryBytes = 64 << 10
	smallShare      = 8
	// maxWait bounds the wait for memory, and checkInterval is the interval at which a
	// waiting entry looks for others to evict, since they may have stalled meanwhile.
	maxWait       = time.Second
	checkInterval = 100 * time.Millisecond
)

// Holder owns an entry.
type Holder interface {
	// Evict ends the reading of a request, or the writing of its response if writing is
	// set. The ledger is locked meanwhile, so Evict must neither block nor call it.
	Evict(writing bool)
}

// Result is the result of a reservation.
type Result int

// The results of a reservation.
const (
	// Granted means that the bytes are reserved.
	Granted Result = iota
	// Refused means that the request must be refused. Its entry keeps what it has.
	Refused
	// Waiting means that the owner must wait for Decision.Ready, at most until
	// Decision.Until, and call Await then, which may return Waiting again.
	Waiting
)

// Decision is the answer to a reservation.
type Decision struct {
	Result Result
	// Ready is closed when the bytes are reserved or the entry is evicted.
	Ready <-chan struct{}
	Until time.Time
}

// Stats is the state of a ledger.
type Stats struct {
	// Reserved and Capacity are in bytes. Reserved includes Responses. Small ones
	// are counted even if they do not fit, so that Reserved may exceed Capacity.
	Reserved  int
	Responses int
	Capacity  int
	Entries   int
	// Evicted counts the entries evicted since the start.
	Evicted int
}

// Ledger bounds the memory that the requests of callers hold on a host. It is safe for
// concurrent use.
type Ledger struct {
	capacity int

	mu sync.Mutex
	// entries has all open entries, in no order.
	entries []*Entry
	// waiting has the entries that wait for memory, in the order of their arrival.
	waiting []*Entry
	// all counts the bytes of all entries, and large those of the entries above
	// smallEntryBytes. responses counts the part that responses hold.
	all, large amount
	responses  int
	evicted    int
}

// amount is a number of reserved bytes, and how many of them belong to evicted entries
// or to waiting ones.
type amount struct{ reserved, evicted, waiting int }

// NewLedger returns a ledger with the given capacity in bytes.
func NewLedger(capacity int) *Ledger { return &Ledger{capacity: capacity} }

// Stats returns the current state.
func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Reserved: l.all.reserved, Responses: l.responses, Capacity: l.capacity, Entries: len(l.entries), Evicted: l.evicted}
}

// Open adds an entry, which must not be open, and reserves n bytes for it. The entry is
// open whatever the result is, and must be closed.
func (l *Ledger) Open(e *Entry, h Holder, n int, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	*e = Entry{holder: h, open: true, place: len(l.entries), reading: true, recent: startCredit, observedAt: now}
	l.entries = append(l.entries, e)
	return l.reserve(e, n, now)
}

// Reserve reserves n more bytes for a request that is being read.
func (l *Ledger) Reserve(e *Entry, n int, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reserve(e, n, now)
}

// Await continues a reservation that waits. The entry is refused if it has neither got the
// bytes nor any time left to wait.
func (l *Ledger) Await(e *Entry, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.ready != nil {
		if now.Before(e.waitEnds) && l.makeRoom(e, e.wanted, now) {
			return e.waiting(now)
		}
		l.stopWaiting(e, now)
		l.grantWaiting(now)
	}
	if !e.granted {
		return Decision{Result: Refused}
	}
	e.granted = false
	return Decision{Result: Granted}
}

// Return gives back n bytes of an entry, such as those of a buffer that was replaced.
func (l *Ledger) Return(e *Entry, n int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.open {
		l.add(e, -n)
		l.grantWaiting(now)
	}
}

// Arrived records that n bytes of a request have arrived.
func (l *Ledger) Arrived(e *Entry, n int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.recent = e.recentAt(now) + float64(n)
	e.observedAt = now
}

// Complete records that a request has been read completely, so that it is not evicted any
// more. It returns false if the entry has been evicted before.
func (l *Ledger) Complete(e *Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.reading = false
	return !e.evicted
}

// SetResponse records that the response of a request holds n bytes. These are reserved
// even if they do not fit, since the request has run.
func (l *Ledger) SetResponse(e *Entry, n int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !e.open {
		return
	}
	l.responses += n - e.response
	l.add(e, n-e.response)
	e.response = n
	l.grantWaiting(now)
}

// GrowResponse reserves the bytes that are missing to n for the response of a request, if
// they fit. Otherwise it evicts responses that their callers do not read, and returns false;
// the bytes may fit a little later.
func (l *Ledger) GrowResponse(e *Entry, n int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	more := n - e.response
	if !e.open || more <= 0 {
		return true
	}
	if l.shortage(e, more) > 0 {
		l.evictStalledWrites(e, more, now)
		return false
	}
	l.responses += more
	l.add(e, more)
	e.response = n
	return true
}

// BeginWrite records that a write of the response has begun, and EndWrite that it has
// ended.
func (l *Ledger) BeginWrite(e *Entry, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.writingSince = now
}

// EndWrite records that a write of the response has ended.
func (l *Ledger) EndWrite(e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.writingSince = time.Time{}
}

// Close releases all bytes of an entry and removes it. It does nothing if the entry is not
// open.
func (l *Ledger) Close(e *Entry, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !e.open {
		return
	}
	if e.ready != nil {
		l.stopWaiting(e, now)
	}
	l.responses -= e.response
	l.add(e, -e.held)
	last := l.entries[len(l.entries)-1]
	l.entries[e.place], last.place = last, e.place
	l.entries[len(l.entries)-1] = nil
	l.entries = l.entries[:len(l.entries)-1]
	*e = Entry{}
	l.grantWaiting(now)
}

// add adds n bytes, which may be negative, to an entry and to the amounts.
func (l *Ledger) add(e *Entry, n int) {
	l.count(e, -1)
	e.held += n
	l.count(e, 1)
}

// count adds the bytes of an entry to the amounts, or subtracts them if sign is -1. Whatever
// changes a field that amounts depend on does so between two calls.
func (l *Ledger) count(e *Entry, sign int) {
	l.all.add(e, sign)
	if e.held > smallEntryBytes {
		l.large.add(e, sign)
	}
}

func (a *amount) add(e *Entry, sign int) {
	a.reserved += sign * e.held
	if e.evicted {
		a.evicted += sign * e.held
	} else if e.ready != nil {
		a.waiting += sign * e.held
	}
}
