package lease

import (
	"time"

	"bulrushshed/hostlog"
)

// Options are the timing parameters of a lease.
type Options struct {
	// Term is how long a holder may act after it started to append its last
	// accepted record.
	Term time.Duration
	// Margin is how much longer than Term a challenger waits.
	Margin time.Duration
	// Renew is the minimum time between two claims or renewals by this host.
	Renew time.Duration
}

// Elector tracks the lease on one host: the records that it read and wrote, and
// until when it may act as the holder. It is not safe for concurrent use.
type Elector struct {
	opts      Options
	self      string
	state     State
	sequencer hostlog.Sequencer[Record]
	// readAt is when this host read the last accepted record.
	readAt time.Time
	// appendStarted maps the IDs of this host's records that it has not read
	// back yet to when their appends started.
	appendStarted map[string]time.Time
	// holdUntil is when this host must stop acting as the holder; zero if it
	// does not hold the lease.
	holdUntil time.Time
	// lastAttempt is when NextRecord last returned a record.
	lastAttempt time.Time
}

// NewElector returns an elector for the host self that has read no records.
func NewElector(o Options, self string) *Elector {
	return &Elector{opts: o, self: self, appendStarted: map[string]time.Time{}}
}

// Observe applies the record at an offset of the log, which was read now.
func (e *Elector) Observe(offset int64, r Record, now time.Time) {
	if e.sequencer.Accept(offset, r) {
		e.apply(offset, r, now)
	}
}

func (e *Elector) apply(offset int64, r Record, now time.Time) {
	started, own := e.appendStarted[r.ID]
	delete(e.appendStarted, r.ID)
	state, accepted := e.state.Apply(offset, r)
	if !accepted {
		return
	}
	e.state = state
	e.readAt = now
	switch {
	case state.Holder != e.self:
		e.holdUntil = time.Time{}
	case own:
		// A record whose append time is not known any more does not extend the
		// term.
		e.holdUntil = started.Add(e.opts.Term)
	}
}

// ReadTo returns the offset up to which all records have been applied.
func (e *Elector) ReadTo() int64 { return e.sequencer.ReadTo() }

// AdvanceTo records that the log was read up to an offset.
func (e *Elector) AdvanceTo(offset int64) { e.sequencer.AdvanceTo(offset) }

// MarkGap records that the log now starts at offset first, because older records
// were deleted. A host that missed some of them cannot tell which claims were
// accepted, so it neither acts as the holder nor claims the lease until Restore or
// Reset.
func (e *Elector) MarkGap(first int64) {
	e.sequencer.MarkGap(first)
	if !e.sequencer.Complete() {
		e.holdUntil = time.Time{}
	}
}

// Restore applies a snapshot of the lease from another host, which had read the
// log up to readTo.
func (e *Elector) Restore(state State, readTo int64, now time.Time) {
	if state.Last > e.state.Last {
		e.state = state
		e.readAt = now
		e.holdUntil = time.Time{}
	}
	e.sequencer.Restore(readTo, func(offset int64, r Record) { e.apply(offset, r, now) })
}

// unknownHolder stands for a holder whose name was lost with the records.
const unknownHolder = "someone"

// Reset replaces the state as of an offset by one in which an unknown host, which
// may still act for up to a term, holds the lease. It closes the gap that missed
// records left, as Restore does.
func (e *Elector) Reset(offset int64, now time.Time) {
	if offset <= e.state.Last {
		return
	}
	e.state = State{Holder: unknownHolder, Grant: e.state.Grant, Last: offset}
	e.readAt = now
	e.holdUntil = time.Time{}
	e.sequencer.Reset(offset, func(offset int64, r Record) { e.apply(offset, r, now) })
}

// Holds reports whether this host may act as the holder now, and returns the
// fencing token for its orders.
func (e *Elector) Holds(now time.Time) (fence int64, ok bool) {
	return e.state.Grant, e.state.Holder == e.self && now.Before(e.holdUntil)
}

// NextRecord returns the record that this host should append now, if any: a claim
// or a renewal. It counts the append as started now, so the caller must append the
// record immediately. It need not report whether that succeeded: a record takes
// effect only when it is read back.
func (e *Elector) NextRecord(id string, now time.Time) (Record, bool) {
	if !e.lastAttempt.IsZero() && now.Sub(e.lastAttempt) < e.opts.Renew {
		return Record{}, false
	}
	var r Record
	switch {
	case !e.sequencer.Complete():
		return Record{}, false
	case e.state.Holder == e.self:
		r = Record{ID: id, Action: ActionRenew, Holder: e.self, Grant: e.state.Grant}
	case e.state.Holder == "" || e.expired(now):
		r = Record{ID: id, Action: ActionClaim, Holder: e.self, After: e.state.Last}
	default:
		return Record{}, false
	}
	e.lastAttempt = now
	e.appendStarted[id] = now
	e.dropStaleAppends(now)
	return r, true
}

// expired reports whether the holder is certain to have stopped acting.
func (e *Elector) expired(now time.Time) bool {
	return now.Sub(e.readAt) > e.opts.Term+e.opts.Margin
}

// dropStaleAppends drops the records whose term would be over already if they were
// read back now.
func (e *Elector) dropStaleAppends(now time.Time) {
	for id, at := range e.appendStarted {
		if now.Sub(at) > e.opts.Term {
			delete(e.appendStarted, id)
		}
	}
}

// Release stops this host from acting as the holder, and returns the record that
// gives up the lease. It returns false if this host does not hold it.
func (e *Elector) Release(id string) (Record, bool) {
	if e.state.Holder != e.self {
		return Record{}, false
	}
	e.holdUntil = time.Time{}
	return Record{ID: id, Action: ActionRelease, Holder: e.self, Grant: e.state.Grant}, true
}

// State returns the state of the lease after all records that this host applied.
func (e *Elector) State() State { return e.state }
