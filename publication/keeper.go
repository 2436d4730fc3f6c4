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
	Record(r hostlog.Record)
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
	LastRead time.Time    `json:"last_read"`
	Lease    lease.State  `json:"lease"`
	// Holds is whether this host may act as the holder of the lease.
	Holds bool `json:"holds"`
	// Failure is the error of the last read, or "" if it succeeded.
	Failure string `json:"failure"`
}

// Follower applies the platform's log. It is safe for concurrent use.
type Follower struct {
	opts    Options
	log     *slog.Logger
	current atomic.Pointer[rule.ActiveFile]
	// previous is the file that was in force before the current one.
	previous atomic.Pointer[rule.ActiveFile]
	// onChange is called without mu held after a newer file comes into force.
	onChange func(Snapshot)

	mu      sync.Mutex
	rules   *rule.StateMachine
	elector *lease.Elector
	state   State
}

// NewFollower returns a follower with no file in force.
func NewFollower(o Options, onChange func(Snapshot), log *slog.Logger) *Follower {
	k := &Follower{opts: o, log: log, onChange: onChange, rules: rule.NewStateMachine(), elector: lease.NewElector(o.Lease, o.Self)}
	first := k.rules.Current()
	k.current.Store(&first)
	k.previous.Store(&first)
	return k
}

// Current returns the file in force.
func (k *Follower) Current() rule.ActiveFile { return *k.current.Load() }

// State returns the follower's progress.
func (k *Follower) State() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.state
	s.Version = k.rules.Current().Version
	s.ReadTo = k.rules.ReadTo()
	s.Complete = k.rules.Complete()
	s.Lease = k.elector.State()
	_, s.Holds = k.elector.Holds(time.Now())
	return s
}

// Snapshot returns the state from which another host can resume. ok is false
// while records are missing on this host.
func (k *Follower) Snapshot() (s Snapshot, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.snapshot()
}

func (k *Follower) snapshot() (Snapshot, bool) {
	c, _ := k.rules.Checkpoint()
	return Snapshot{Rules: c, Lease: k.elector.State()}, k.rules.Complete() && k.elector.ReadTo() == c.ReadTo
}

// Restore applies the snapshot of a peer.
func (k *Follower) Restore(s Snapshot) {
	k.apply(func() { k.restore(s, time.Now()) })
}

func (k *Follower) restore(s Snapshot, now time.Time) {
	k.rules.Restore(s.Rules)
	k.elector.Restore(s.Lease, s.Rules.ReadTo, now)
}

// SnapshotSince returns a snapshot for a host that has the given version. If
// that is the version before the current one, the snapshot's text is omitted
// and the delta produces it.
func (k *Follower) SnapshotSince(have rule.Version) (s Snapshot, delta *rule.Delta) {
	before := k.previous.Load()
	s, _ = k.Snapshot()
	if have == 0 || have != before.Version || s.Rules.Version <= have {
		return s, nil
	}
	d := rule.NewDelta(have, before.Text, s.Rules.Text)
	s.Rules.Text = ""
	return s, &d
}

// RestoreDelta applies a snapshot without text. It fails if the delta is not
// based on the file in force on this host.
func (k *Follower) RestoreDelta(s Snapshot, d rule.Delta) error {
	cur := k.Current()
	if cur.Version != d.Base {
		return &Error{Op: "restore", Kind: KindConflict, Cause: fmt.Errorf("got a delta of version %d, want of %d", d.Base, cur.Version)}
	}
	text, err := d.Apply(cur.Text)
	if err != nil {
		return &Error{Op: "restore", Kind: KindFaulty, Cause: err}
	}
	s.Rules.Text = text
	k.Restore(s)
	return nil
}

// Holds returns the fencing token and reports whether this host may act as the
// holder of the lease at the given time. Call it immediately before issuing
// each order.
func (k *Follower) Holds(now time.Time) (fence int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.elector.Holds(now)
}

// NextLease returns the lease record that this host is to append now.
func (k *Follower) NextLease(now time.Time) (lease.Record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.elector.NextRecord(NewID(), now)
}

// ReleaseLease returns the record with which a stopping host gives up the
// lease. This host no longer acts as the holder afterwards.
func (k *Follower) ReleaseLease() (lease.Record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.elector.Release(NewID())
}

// apply runs a change of the state under the lock, and calls onChange if a
// newer file came into force.
func (k *Follower) apply(change func()) {
	k.mu.Lock()
	before := k.rules.Current().Version
	change()
	now := k.rules.Current()
	s, _ := k.snapshot()
	if now.Version > before {
		k.previous.Store(k.current.Load())
		k.current.Store(&now)
	}
	k.mu.Unlock()
	if now.Version > before {
		k.log.Info("publication: rule file in force", "version", int64(now.Version), "author", now.Author)
		k.onChange(s)
	}
}

// Run reads and applies the log from its start until ctx ends, and then sends
// on the returned channel.
func (k *Follower) Run(ctx context.Context, l Log, o Observer) <-chan error {
	done := make(chan error, 1)
	go func() {
		next := int64(1)
		for ctx.Err() == nil {
			page, err := l.Read(next, k.opts.Limit, k.opts.Wait)
			k.recordRead(err)
			if err != nil {
				k.waitRetry(ctx)
				continue
			}
			next = k.applyPage(page, next, o)
		}
		done <- nil
	}()
	return done
}

func (k *Follower) waitRetry(ctx context.Context) {
	t := time.NewTimer(k.opts.RetryDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (k *Follower) recordRead(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.state.Failure = err.Error()
		return
	}
	k.state.Failure = ""
	k.state.LastRead = time.Now()
}

// applyPage applies a page that was requested from an offset, and returns the
// offset to read next.
func (k *Follower) applyPage(page hostlog.Page, from int64, o Observer) int64 {
	now := time.Now()
	k.apply(func() {
		if page.First > from {
			k.rules.MarkGap(page.First)
			k.elector.MarkGap(page.First)
		}
		for _, r := range page.Records {
			k.applyRecord(r, now)
		}
		k.rules.AdvanceTo(page.Next - 1)
		k.elector.AdvanceTo(page.Next - 1)
	})
	for _, r := range page.Records {
		o.Record(r)
	}
	return page.Next
}

// applyRecord applies one record. A record that cannot be decoded is skipped, on
// every host alike.
func (k *Follower) applyRecord(r hostlog.Record, now time.Time) {
	var err error
	switch r.Type {
	case hostlog.RecordPublication:
		var p rule.Publication
		if err = json.Unmarshal(r.Body, &p); err == nil {
			k.applyPublication(r.Offset, p, now)
		}
	case hostlog.RecordCheckpoint:
		var s Snapshot
		if err = json.Unmarshal(r.Body, &s); err == nil {
			k.restore(s, now)
		}
	case hostlog.RecordLease:
		var l lease.Record
		if err = json.Unmarshal(r.Body, &l); err == nil {
			k.elector.Observe(r.Offset, l, now)
		}
	case hostlog.RecordOutcomes:
	}
	if err != nil {
		k.log.Warn("publication: skipped malformed record", "offset", r.Offset, "cause", err.Error())
	}
}

func (k *Follower) applyPublication(offset int64, p rule.Publication, now time.Time) {
	verdict := k.rules.ApplyPublication(offset, p)
	if p.Reset && verdict == rule.VerdictAccepted {
		k.elector.Reset(offset, now)
	}
	k.log.Info("publication: evaluated", "offset", offset, "verdict", string(verdict))
}
