package publication

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"bulrushshed/platform"
	"bulrushshed/rule"
)

// Log reads the platform's log.
type Log interface {
	Read(from int64, limit int, wait time.Duration) (platform.Page, error)
}

// Observer hears of each record that is no rule, in log order.
type Observer interface {
	Record(r platform.Record)
}

// Options bound a keeper.
type Options struct {
	// Limit is the number of records of one read.
	Limit int
	// Wait is how long the platform may hold a read open.
	Wait time.Duration
	// Pause is the wait behind a failed read.
	Pause time.Duration
}

// State is how far a keeper has come, for status.
type State struct {
	Version  rule.Version `json:"version"`
	ReadTo   int64        `json:"read_to"`
	Complete bool         `json:"complete"`
	LastRead time.Time    `json:"last_read"`
	// Failure is why the last read failed, or "".
	Failure string `json:"failure"`
}

// Keeper is safe for concurrent use.
type Keeper struct {
	opts    Options
	log     *slog.Logger
	current atomic.Pointer[rule.InForce]
	// changed is called, without the lock, after a newer file came in force.
	changed func(rule.Checkpoint)

	mu    sync.Mutex
	fold  *rule.Fold
	state State
}

// NewKeeper returns a keeper with no file in force.
func NewKeeper(o Options, changed func(rule.Checkpoint), log *slog.Logger) *Keeper {
	k := &Keeper{opts: o, log: log, changed: changed, fold: rule.NewFold()}
	first := k.fold.Current()
	k.current.Store(&first)
	return k
}

// Current returns the file in force.
func (k *Keeper) Current() rule.InForce { return *k.current.Load() }

// State returns how far the keeper has come.
func (k *Keeper) State() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.state
	s.Version = k.fold.Current().Version
	s.ReadTo = k.fold.ReadTo()
	s.Complete = k.fold.Complete()
	return s
}

// Checkpoint returns what a peer needs to go on from here.
func (k *Keeper) Checkpoint() (rule.Checkpoint, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fold.Checkpoint()
}

// Restore takes a peer's file.
func (k *Keeper) Restore(c rule.Checkpoint) {
	k.apply(func(f *rule.Fold) { f.Restore(c) })
}

// apply changes the fold, and tells of a newer file.
func (k *Keeper) apply(change func(f *rule.Fold)) {
	k.mu.Lock()
	before := k.fold.Current().Version
	change(k.fold)
	now := k.fold.Current()
	c, _ := k.fold.Checkpoint()
	if now.Version > before {
		k.current.Store(&now)
	}
	k.mu.Unlock()
	if now.Version > before {
		k.log.Info("publication: in force", "version", int64(now.Version), "author", now.Author)
		k.changed(c)
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
func (k *Keeper) take(page platform.Page, from int64, o Observer) int64 {
	k.apply(func(f *rule.Fold) {
		if page.First > from {
			f.Gap(page.First)
		}
		for _, r := range page.Records {
			k.record(f, r)
		}
		f.Advance(page.Next - 1)
	})
	for _, r := range page.Records {
		o.Record(r)
	}
	return page.Next
}

// record folds one record; one that can't be read counts for no host.
func (k *Keeper) record(f *rule.Fold, r platform.Record) {
	switch r.Type {
	case platform.RecordPublication:
		var p rule.Publication
		if err := json.Unmarshal(r.Body, &p); err != nil {
			k.log.Warn("publication: unreadable record", "offset", r.Offset, "cause", err.Error())
			return
		}
		verdict := f.Publish(r.Offset, p)
		k.log.Info("publication: read", "offset", r.Offset, "verdict", string(verdict))
	case platform.RecordCheckpoint:
		var c rule.Checkpoint
		if err := json.Unmarshal(r.Body, &c); err != nil {
			k.log.Warn("publication: unreadable record", "offset", r.Offset, "cause", err.Error())
			return
		}
		f.Restore(c)
	case platform.RecordOutcomes, platform.RecordLease:
	}
}
