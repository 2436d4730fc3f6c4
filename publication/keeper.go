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

// Observer hears of each record that is no rule, in log order.
type Observer interface {
	Record(r hostlog.Record)
}

// Options bound a keeper.
type Options struct {
	// Limit is the number of records of one read.
	Limit int
	// Wait is how long the platform may hold a read open.
	Wait time.Duration
	// Pause is the wait behind a failed read.
	Pause time.Duration
	// Self names this host in its present incarnation, and Lease are the
	// times of the lease.
	Self  string
	Lease lease.Options
}

// Snapshot is what a host needs to go on from some offset of the log: the rules
// and the lease as of that offset.
type Snapshot struct {
	Rules rule.Checkpoint `json:"rules"`
	Lease lease.State     `json:"lease"`
}

// State is how far a keeper has come, for status.
type State struct {
	Version  rule.Version `json:"version"`
	ReadTo   int64        `json:"read_to"`
	Complete bool         `json:"complete"`
	LastRead time.Time    `json:"last_read"`
	Lease    lease.State  `json:"lease"`
	// Holds is whether this host may act as the holder of the lease.
	Holds bool `json:"holds"`
	// Failure is why the last read failed, or "".
	Failure string `json:"failure"`
}

// Keeper is safe for concurrent use.
type Keeper struct {
	opts    Options
	log     *slog.Logger
	current atomic.Pointer[rule.ActiveFile]
	// before is the file that was in force before the current one.
	before atomic.Pointer[rule.ActiveFile]
	// changed is called, without the lock, after a newer file came in force.
	changed func(Snapshot)

	mu    sync.Mutex
	fold  *rule.StateMachine
	seat  *lease.Elector
	state State
}

// NewKeeper returns a keeper with no file in force.
func NewKeeper(o Options, changed func(Snapshot), log *slog.Logger) *Keeper {
	k := &Keeper{opts: o, log: log, changed: changed, fold: rule.NewStateMachine(), seat: lease.NewElector(o.Lease, o.Self)}
	first := k.fold.Current()
	k.current.Store(&first)
	k.before.Store(&first)
	return k
}

// Current returns the file in force.
func (k *Keeper) Current() rule.ActiveFile { return *k.current.Load() }

// State returns how far the keeper has come.
func (k *Keeper) State() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.state
	s.Version = k.fold.Current().Version
	s.ReadTo = k.fold.ReadTo()
	s.Complete = k.fold.Complete()
	s.Lease = k.seat.State()
	_, s.Holds = k.seat.Holds(time.Now())
	return s
}

// Snapshot returns what another host needs to go on from here; ok is false
// while records are missing here.
func (k *Keeper) Snapshot() (s Snapshot, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.snapshot()
}

func (k *Keeper) snapshot() (Snapshot, bool) {
	c, _ := k.fold.Checkpoint()
	return Snapshot{Rules: c, Lease: k.seat.State()}, k.fold.Complete() && k.seat.ReadTo() == c.ReadTo
}

// Restore takes the snapshot of a peer.
func (k *Keeper) Restore(s Snapshot) {
	k.apply(func() { k.restore(s, time.Now()) })
}

func (k *Keeper) restore(s Snapshot, now time.Time) {
	k.fold.Restore(s.Rules)
	k.seat.Restore(s.Lease, s.Rules.ReadTo, now)
}

// Since returns a snapshot for a host that has a version. If that is the one
// before the current, the text is left out and the delta makes it.
func (k *Keeper) Since(have rule.Version) (s Snapshot, delta *rule.Delta) {
	before := k.before.Load()
	s, _ = k.Snapshot()
	if have == 0 || have != before.Version || s.Rules.Version <= have {
		return s, nil
	}
	d := rule.NewDelta(have, before.Text, s.Rules.Text)
	s.Rules.Text = ""
	return s, &d
}

// RestoreDelta takes a snapshot without its text; it fails if the delta is not
// of the file in force here.
func (k *Keeper) RestoreDelta(s Snapshot, d rule.Delta) error {
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

// Holds reports whether this host may act as the holder of the lease at a
// time, and the fencing number. It is to be asked right before each order.
func (k *Keeper) Holds(now time.Time) (fence int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.seat.Holds(now)
}

// NextLease returns the lease record that this host is to append now.
func (k *Keeper) NextLease(now time.Time) (lease.Record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.seat.NextRecord(NewID(), now)
}

// ReleaseLease returns the record by which a host that stops gives up the
// lease, and acts no more.
func (k *Keeper) ReleaseLease() (lease.Record, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.seat.Release(NewID())
}

// apply changes what is folded, and tells of a newer file.
func (k *Keeper) apply(change func()) {
	k.mu.Lock()
	before := k.fold.Current().Version
	change()
	now := k.fold.Current()
	s, _ := k.snapshot()
	if now.Version > before {
		k.before.Store(k.current.Load())
		k.current.Store(&now)
	}
	k.mu.Unlock()
	if now.Version > before {
		k.log.Info("publication: in force", "version", int64(now.Version), "author", now.Author)
		k.changed(s)
	}
}

// Follow reads the log from its start until ctx ends, and reports its end on
// the returned channel.
func (k *Keeper) Follow(ctx context.Context, l Log, o Observer) <-chan error {
	done := make(chan error, 1)
	go func() {
		next := int64(1)
		for ctx.Err() == nil {
			page, err := l.Read(next, k.opts.Limit, k.opts.Wait)
			k.note(err)
			if err != nil {
				k.sleep(ctx)
				continue
			}
			next = k.take(page, next, o)
		}
		done <- nil
	}()
	return done
}

func (k *Keeper) sleep(ctx context.Context) {
	t := time.NewTimer(k.opts.Pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (k *Keeper) note(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.state.Failure = err.Error()
		return
	}
	k.state.Failure = ""
	k.state.LastRead = time.Now()
}

// take folds a page that was asked for from an offset, and returns the next.
func (k *Keeper) take(page hostlog.Page, from int64, o Observer) int64 {
	now := time.Now()
	k.apply(func() {
		if page.First > from {
			k.fold.MarkGap(page.First)
			k.seat.MarkGap(page.First)
		}
		for _, r := range page.Records {
			k.record(r, now)
		}
		k.fold.AdvanceTo(page.Next - 1)
		k.seat.AdvanceTo(page.Next - 1)
	})
	for _, r := range page.Records {
		o.Record(r)
	}
	return page.Next
}

// record folds one record; one that can't be read counts for no host.
func (k *Keeper) record(r hostlog.Record, now time.Time) {
	var err error
	switch r.Type {
	case hostlog.RecordPublication:
		var p rule.Publication
		if err = json.Unmarshal(r.Body, &p); err == nil {
			k.publish(r.Offset, p, now)
		}
	case hostlog.RecordCheckpoint:
		var s Snapshot
		if err = json.Unmarshal(r.Body, &s); err == nil {
			k.restore(s, now)
		}
	case hostlog.RecordLease:
		var l lease.Record
		if err = json.Unmarshal(r.Body, &l); err == nil {
			k.seat.Observe(r.Offset, l, now)
		}
	case hostlog.RecordOutcomes:
	}
	if err != nil {
		k.log.Warn("publication: unreadable record", "offset", r.Offset, "cause", err.Error())
	}
}

func (k *Keeper) publish(offset int64, p rule.Publication, now time.Time) {
	verdict := k.fold.ApplyPublication(offset, p)
	if p.Reset && verdict == rule.VerdictAccepted {
		k.seat.Reset(offset, now)
	}
	k.log.Info("publication: read", "offset", offset, "verdict", string(verdict))
}
