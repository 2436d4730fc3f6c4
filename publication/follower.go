package publication

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"bulrushshed/hostlog"
	"bulrushshed/lease"
	"bulrushshed/rule"
)

// Log reads the platform's log.
type Log interface {
	Read(from int64, limit int, wait time.Duration) (hostlog.Page, error)
}

// Observer receives each log record, in log order, after the follower has
// applied it.
type Observer interface {
	ObserveRecord(r hostlog.Record)
}

// Options configures a follower.
type Options struct {
	// Limit is the maximum number of records per read.
	Limit int
	// Wait is how long the platform may hold a read open.
	Wait time.Duration
	// RetryDelay is the delay after a failed read.
	RetryDelay time.Duration
	// Self identifies the current incarnation of this host, and Lease holds the
	// timing of the lease.
	Self  string
	Lease lease.Options
}

// Snapshot is the state from which a host can resume reading the log: the rules
// and the lease as of one offset.
type Snapshot struct {
	Rules rule.Checkpoint `json:"rules"`
	Lease lease.State     `json:"lease"`
}

// State is a follower's progress, for the status page.
type State struct {
	Version  rule.Version `json:"version"`
	ReadTo   int64        `json:"read_to"`
	Complete bool         `json:"complete"`
	// Known is set once the newest rule file as of some time after the start is known, or
	// that there is none: the log was read to its end, or a peer's snapshot was applied.
	Known bool `json:"known"`
	// LastRead is when the log was last read to its end.
	LastRead time.Time   `json:"last_read"`
	Lease    lease.State `json:"lease"`
	// Holds is set if this host may act as the holder of the lease.
	Holds bool `json:"holds"`
	// Failure is the error of the last read, or "" if it succeeded.
	Failure string `json:"failure"`
}

// Follower applies the platform's log. It is safe for concurrent use.
type Follower struct {
	opts    Options
	log     *slog.Logger
	current atomic.Pointer[rule.ActiveFile]
	// previous is the file that was active before the current one.
	previous atomic.Pointer[rule.ActiveFile]
	// onChange is called without mu held after a newer file becomes active.
	onChange func(Snapshot)

	mu      sync.Mutex
	rules   *rule.StateMachine
	elector *lease.Elector
	state   State
	// era is the newest era of the log that was read.
	era int64
	// restored is set once a peer's snapshot was applied.
	restored bool
}

// NewFollower returns a follower with no active file.
func NewFollower(o Options, onChange func(Snapshot), log *slog.Logger) *Follower {
	f := &Follower{opts: o, log: log, onChange: onChange, rules: rule.NewStateMachine(), era: hostlog.EraOf(0), elector: lease.NewElector(o.Lease, o.Self)}
	first := f.rules.Current()
	f.current.Store(&first)
	f.previous.Store(&first)
	return f
}

// Current returns the active file.
func (f *Follower) Current() rule.ActiveFile { return *f.current.Load() }

// State returns the follower's progress.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state
	s.Version = f.Current().Version
	s.ReadTo = f.rules.ReadTo()
	s.Complete = f.rules.Complete()
	s.Known = f.restored && s.Version > 0 || s.Complete && !s.LastRead.IsZero()
	s.Lease = f.elector.State()
	_, s.Holds = f.elector.Holds(time.Now())
	return s
}

// Snapshot returns the state from which another host can resume. ok is false
// while records are missing on this host.
func (f *Follower) Snapshot() (s Snapshot, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot()
}

// snapshot is Snapshot for callers that hold mu.
func (f *Follower) snapshot() (Snapshot, bool) {
	c, _ := f.rules.Checkpoint()
	return Snapshot{Rules: c, Lease: f.elector.State()}, f.rules.Complete() && f.elector.ReadTo() == c.ReadTo
}

// Restore applies the snapshot of a peer.
func (f *Follower) Restore(s Snapshot) {
	f.apply(func() {
		f.restored = true
		f.restore(s, time.Now())
	})
}

func (f *Follower) restore(s Snapshot, now time.Time) {
	f.rules.Restore(s.Rules)
	f.elector.Restore(s.Lease, s.Rules.ReadTo, now)
}

// SnapshotSince returns a snapshot for a host that has the given version. If
// that is the version before the current one, the snapshot's text is omitted,
// and the delta turns the text of that version into it. Otherwise delta is nil.
func (f *Follower) SnapshotSince(have rule.Version) (s Snapshot, delta *rule.Delta) {
	before := f.previous.Load()
	s, _ = f.Snapshot()
	if have == 0 || have != before.Version || s.Rules.Version <= have {
		return s, nil
	}
	d := rule.NewDelta(have, before.Text, s.Rules.Text)
	s.Rules.Text = ""
	return s, &d
}

// RestoreDelta applies a snapshot whose text was omitted. It fails if the delta
// is not based on the active file of this host.
func (f *Follower) RestoreDelta(s Snapshot, d rule.Delta) error {
	cur := f.Current()
	if cur.Version != d.Base {
		return &Error{Op: "restore", Kind: KindConflict, Cause: fmt.Errorf("delta is based on version %d, but version %d is active", d.Base, cur.Version)}
	}
	text, err := d.Apply(cur.Text)
	if err != nil {
		return &Error{Op: "restore", Kind: KindFaulty, Cause: err}
	}
	s.Rules.Text = text
	f.Restore(s)
	return nil
}

// Holds returns the fencing token and reports whether this host may act as the
// holder of the lease at the given time. Call it immediately before sending
// each order to an engine.
func (f *Follower) Holds(now time.Time) (fence int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.elector.Holds(now)
}

// NextLeaseRecord returns the lease record that this host should append now, if
// any. The caller must append it immediately.
func (f *Follower) NextLeaseRecord(now time.Time) (lease.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.elector.NextRecord(NewID(), now)
}

// ReleaseLease returns the record with which a stopping host gives up the
// lease, if it holds it. This host no longer acts as the holder afterwards.
func (f *Follower) ReleaseLease() (lease.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.elector.Release(NewID())
}

// apply calls change with mu held. If that activated a newer file, it then
// makes the file visible to readers and calls onChange.
func (f *Follower) apply(change func()) {
	f.mu.Lock()
	change()
	cur := f.rules.Current()
	s, _ := f.snapshot()
	isNewer := cur.Version > f.Current().Version && !f.mayBeOutdated()
	if isNewer {
		f.previous.Store(f.current.Load())
		f.current.Store(&cur)
	}
	f.mu.Unlock()
	if isNewer {
		f.log.Info("publication: activated rule file", "version", int64(cur.Version), "author", cur.Author)
		f.onChange(s)
	}
}

// Run reads and applies the log from its start, in a new goroutine. When ctx
// ends, that sends nil on the returned channel.
func (f *Follower) Run(ctx context.Context, l Log, o Observer) <-chan error {
	done := make(chan error, 1)
	go func() {
		next := int64(1)
		for ctx.Err() == nil {
			page, err := l.Read(next, f.opts.Limit, f.opts.Wait)
			if err != nil {
				f.setFailure(err)
				f.waitRetry(ctx)
				continue
			}
			next = f.applyPage(page, next, o)
			f.recordRead(page)
		}
		done <- nil
	}()
	return done
}

func (f *Follower) waitRetry(ctx context.Context) {
	t := time.NewTimer(f.opts.RetryDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// setFailure updates the state after a read of the log that failed.
func (f *Follower) setFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Failure = err.Error()
}

// recordRead updates the state after a page of the log was applied.
func (f *Follower) recordRead(page hostlog.Page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Failure = ""
	if page.ReachesEnd() {
		f.state.LastRead = time.Now()
	}
}

// applyPage applies a page that was requested from an offset, and returns the
// offset to read next.
func (f *Follower) applyPage(page hostlog.Page, from int64, o Observer) int64 {
	now := time.Now()
	f.apply(func() {
		f.beginEra(hostlog.EraOf(page.Next), now)
		if first := firstRead(page); hostlog.OffsetOf(page.First) > firstOffset(from, page) {
			f.rules.MarkGap(first)
			f.elector.MarkGap(first)
		}
		for _, r := range page.Records {
			f.applyRecord(r, now)
		}
		f.rules.AdvanceTo(page.Next - 1)
		f.elector.AdvanceTo(page.Next - 1)
	})
	for _, r := range page.Records {
		o.ObserveRecord(r)
	}
	return page.Next
}

// applyRecord applies one record. A record that cannot be decoded is skipped.
// All hosts skip the same records, so their states stay the same.
func (f *Follower) applyRecord(r hostlog.Record, now time.Time) {
	var err error
	switch r.Type {
	case hostlog.RecordPublication:
		var p rule.Publication
		if err = json.Unmarshal(r.Body, &p); err == nil {
			f.applyPublication(r.Offset, p, now)
		}
	case hostlog.RecordCheckpoint:
		var s Snapshot
		if err = json.Unmarshal(r.Body, &s); err == nil {
			f.restore(s, now)
		}
	case hostlog.RecordLease:
		var l lease.Record
		if err = json.Unmarshal(r.Body, &l); err == nil {
			f.elector.Observe(r.Offset, l, now)
		}
	case hostlog.RecordOutcomes:
	}
	if err != nil {
		f.log.Warn("publication: skipped malformed record", "offset", r.Offset, "cause", err.Error())
	}
}

func (f *Follower) applyPublication(offset int64, p rule.Publication, now time.Time) {
	verdict := f.rules.ApplyPublication(offset, p)
	if p.Reset && verdict == rule.VerdictAccepted {
		f.elector.Reset(offset, now)
	}
	f.log.Info("publication: evaluated published rule file", "offset", offset, "verdict", string(verdict))
}
