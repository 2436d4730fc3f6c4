package hosted

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"bulrushshed/ingress"
	"bulrushshed/platform"
	"bulrushshed/replica"
)

const (
	// configWait and replicasWait are how long the store may hold a read that
	// has no news. The first bounds the age of the proof that keys are good,
	// the second the time in which a silent connection is noticed.
	configWait   = 1500 * time.Millisecond
	replicasWait = 2 * time.Second
	// failPause is the pause behind a read that failed; it doubles with each
	// further one up to maxFailPause, and varies by half.
	failPause    = 100 * time.Millisecond
	maxFailPause = 500 * time.Millisecond
	// gatherTime is how long changes of the replicas are left to gather before
	// the next read.
	gatherTime = 700 * time.Millisecond
)

// follower takes the changes of one topic of the store.
type follower struct {
	topic string
	// wait is how long the store may hold a read.
	wait time.Duration
	// gather is the pause behind a read that brought changes.
	gather time.Duration
	// apply takes changes; whole is set if they are all that there is.
	apply func(p platform.Page, whole bool)
	// proved notes that all news before a time, by the clock of proofs, is
	// applied.
	proved func(sent time.Duration)
	// lost notes that the store does not answer.
	lost func()
}

// follow reads a topic's newest records and then its changes, until ctx ends.
func (h *Host) follow(ctx context.Context, f follower) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		next, connected := int64(-1), true
		wait := failPause
		for ctx.Err() == nil {
			sent := h.fresh.Now()
			page, err := h.read(f, next)
			if err != nil {
				next = h.failed(f, err, next, &connected)
				pause(ctx, wait/2+rand.N(wait))
				wait = min(2*wait, maxFailPause)
				continue
			}
			wait = failPause
			if !connected {
				connected = true
				h.log.Info("store: regained", "topic", f.topic)
			}
			if next < 0 || len(page.Changes) > 0 {
				f.apply(page, next < 0)
			}
			f.proved(sent)
			next = page.Next
			if f.gather > 0 && len(page.Changes) > 0 {
				pause(ctx, f.gather)
			}
		}
	}()
	return done
}

func (h *Host) read(f follower, next int64) (platform.Page, error) {
	if next < 0 {
		return h.store.Newest(f.topic)
	}
	return h.store.Read(f.topic, next, f.wait)
}

// failed logs the first of a row of failures, and returns where to read on.
func (h *Host) failed(f follower, err error, next int64, connected *bool) int64 {
	var e *platform.Error
	if errors.As(err, &e) && e.Kind == platform.KindExpired {
		h.log.Info("store: history dropped", "topic", f.topic, "offset", next)
		return -1
	}
	if *connected {
		*connected = false
		h.log.Warn("store: lost", "topic", f.topic, "cause", err.Error())
	}
	f.lost()
	return next
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (h *Host) configFollower() follower {
	return follower{topic: platform.TopicConfig, wait: configWait, apply: h.applyConfig, proved: h.fresh.Prove, lost: func() {}}
}

// applyConfig puts the newest configuration in force; versions only grow.
func (h *Host) applyConfig(p platform.Page, _ bool) {
	for _, c := range p.Changes {
		if c.Key != platform.KeyConfig || len(c.Value) == 0 {
			continue
		}
		cfg, err := platform.DecodeConfig(c.Value)
		if err != nil {
			h.log.Error("config: unreadable", "offset", c.Offset, "cause", err.Error())
			continue
		}
		old := h.table.Load()
		if old != nil && cfg.Version <= old.Version {
			continue
		}
		h.table.Store(ingress.NewTable(cfg))
		h.log.Info("config: in force", "version", cfg.Version, "offset", c.Offset, "rules", len(cfg.Rules), "customers", len(cfg.Customers))
	}
}

func (h *Host) replicaFollower() follower {
	return follower{
		topic: platform.TopicReplicas, wait: replicasWait, gather: gatherTime, apply: h.applyReplicas, lost: h.replicas.Away,
		proved: func(time.Duration) { h.replicas.Back(time.Now()) },
	}
}

func (h *Host) applyReplicas(p platform.Page, whole bool) {
	now := time.Now()
	var all []replica.Replica
	for _, c := range p.Changes {
		r, ok := h.decodeReplica(c)
		switch {
		case whole && ok:
			all = append(all, r)
		case whole:
		case ok:
			h.replicas.Put(r)
		default:
			h.replicas.Remove(c.Key, now)
		}
	}
	if whole {
		h.replicas.Replace(all, now)
		h.listed.Store(true)
	}
}

// decodeReplica reads an entry of the list, and logs what it changes.
func (h *Host) decodeReplica(c platform.Change) (r replica.Replica, ok bool) {
	if len(c.Value) == 0 {
		h.log.Info("replicas: gone", "replica", c.Key, "offset", c.Offset)
		return r, false
	}
	r, err := platform.DecodeReplica(c.Key, c.Value)
	if err != nil {
		h.log.Warn("replicas: entry ignored", "replica", c.Key, "offset", c.Offset, "cause", err.Error())
		return r, false
	}
	h.log.Info("replicas: listed", "replica", r.ID, "address", r.Address, "domain", r.FailureDomain, "draining", r.Draining,
		"started", r.Started, "from", r.Layers.From, "to", r.Layers.To, "offset", c.Offset)
	return r, true
}
