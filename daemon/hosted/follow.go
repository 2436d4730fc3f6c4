package hosted

import (
	"context"
	"errors"
	"time"

	"bulrushshed/feed"
	"bulrushshed/loop"
	"bulrushshed/platform"
)

const (
	// configWait and replicasWait are how long the store may hold a read that
	// has no news. The first bounds the age of the proof that keys are good,
	// the second the time in which a silent connection is noticed.
	configWait   = 1500 * time.Millisecond
	replicasWait = 2 * time.Second
	// feedPause is the pause behind another host's answer that was of no use.
	feedPause = 100 * time.Millisecond
	// meetWait bounds how long a host that has just started waits before it
	// reads on.
	meetWait = 600 * time.Millisecond
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
	apply func(p feed.Page, whole bool)
	// proved notes that all news before a time, by the clock of proofs, is
	// applied.
	proved func(sent time.Duration)
	// lost notes that the store does not answer.
	lost func()
}

// cursor is how far a follower has come. Only its loop uses it.
type cursor struct {
	follower
	host *Host
	// next is the offset to read on from; -1 for the newest of each key.
	next int64
	// connected is whether the last read of the store succeeded, backoff spaces
	// those that fail, and retry is when the store is read again.
	connected bool
	backoff   feed.Backoff
	retry     time.Time
	// source names the host that feeds this one, or did last; proof is the
	// newest one by that host's clock, and offset compares the clocks.
	source string
	proof  time.Duration
	offset feed.ClockOffset
	// avoided names the host that failed to feed this one, and rest is until
	// when it is not asked.
	avoided string
	rest    time.Time
	// hurry is set when the next read of the store must not wait: the last
	// answer may be old, and others may wait for this host to read.
	hurry bool
}

// follow reads a topic's newest records and then its changes, until ctx ends.
func (h *Host) follow(ctx context.Context, f follower) <-chan error {
	done := make(chan error, 1)
	c := &cursor{follower: f, host: h, next: -1, connected: true}
	go func() {
		defer func() { done <- nil }()
		for ctx.Err() == nil {
			c.step(ctx)
		}
	}()
	return done
}

// step takes news from another host, or from the store. While neither of the two
// can be read, the store is read seldom, and the other host is asked in between to
// tell when it is back.
func (c *cursor) step(ctx context.Context) {
	now := time.Now()
	from, fed := c.host.group.source()
	switch {
	case fed && !c.connected && now.Before(c.retry):
		ask, cancel := context.WithDeadline(ctx, c.retry)
		defer cancel()
		if !c.feed(ask, from) {
			loop.SleepContext(ask, feedPause)
		}
		return
	case fed && c.connected && (from.Name != c.avoided || now.After(c.rest)):
		if !c.feed(ctx, from) {
			c.rest = now.Add(feedRest)
			c.avoided = from.Name
		}
		return
	}
	if c.read(ctx) {
		c.backoff.Succeeded()
		return
	}
	wait := c.backoff.Failed(fed)
	c.retry = time.Now().Add(wait)
	if !fed {
		loop.SleepContext(ctx, wait)
	}
}

// feed takes news from a host that reads the store, and reports whether it could.
func (c *cursor) feed(ctx context.Context, from Peer) (ok bool) {
	if c.source != from.Name {
		c.host.log.Info("feed: followed", "topic", c.topic, "from", from.Name)
		c.source = from.Name
		c.proof = 0
	}
	// If this fails, the store is asked for what has been missed meanwhile.
	c.hurry = true
	sent := c.host.fresh.Now()
	a, err := c.host.feeder.ask(ctx, from, feed.Request{
		Topic: c.topic, Next: c.next, CurrentAsOf: c.proof, Generation: c.host.group.known(), Wait: feedWait, WaitForReader: !c.connected,
	})
	if err != nil {
		if c.connected && ctx.Err() == nil {
			c.host.log.Info("feed: left", "topic", c.topic, "from", from.Name, "cause", err.Error())
		}
		return false
	}
	if a.Members != nil {
		c.host.group.learn(*a.Members)
	}
	c.offset.AddSample(a, sent)
	c.avoided = ""
	if a.Fetch {
		return c.connected && c.read(ctx)
	}
	page, err := a.Open()
	if err != nil {
		c.host.log.Error("feed: unreadable", "topic", c.topic, "from", from.Name, "cause", err.Error())
		return false
	}
	c.proof = a.CurrentAsOf
	c.take(page, a.Snapshot, c.offset.ToLocal(a.CurrentAsOf), false)
	return true
}

// read reads the store, and reports whether it could.
func (c *cursor) read(ctx context.Context) (ok bool) {
	sent := c.host.fresh.Now()
	var p feed.Page
	var err error
	switch {
	case c.next < 0:
		p, err = c.host.store.Newest(c.topic)
	case c.hurry || !c.connected:
		// A store that is back answers at once, and one that is not must not
		// hold this host up.
		p, err = c.host.store.Read(c.topic, c.next, 0)
	default:
		p, err = c.host.store.Read(c.topic, c.next, c.wait)
	}
	c.hurry = false
	if err != nil {
		c.failed(err)
		return false
	}
	c.take(p, c.next < 0, sent, true)
	if c.gather > 0 && len(p.Changes) > 0 {
		loop.SleepContext(ctx, c.gather)
	}
	c.meet(ctx)
	return true
}

// meet waits for a moment until a host that has just started knows whether another
// one feeds it.
func (c *cursor) meet(ctx context.Context) {
	t := time.NewTimer(meetWait)
	defer t.Stop()
	select {
	case <-c.host.group.met:
	case <-t.C:
	case <-ctx.Done():
	}
}

// take applies a page, and passes it on.
func (c *cursor) take(p feed.Page, whole bool, proved time.Duration, direct bool) {
	if !c.connected {
		c.connected = true
		c.host.log.Info("store: regained", "topic", c.topic, "direct", direct)
	}
	if whole || len(p.Changes) > 0 {
		c.apply(p, whole)
		c.host.feeder.log.Put(c.topic, p, whole)
	}
	c.proved(proved)
	c.host.feeder.log.MarkCurrent(c.topic, proved, direct)
	c.next = p.Next
}

// failed logs the first of a row of failures, and finds where to read on.
func (c *cursor) failed(err error) {
	var e *platform.Error
	if errors.As(err, &e) && e.Kind == platform.KindExpired {
		c.host.log.Info("store: history dropped", "topic", c.topic, "offset", c.next)
		c.next = -1
		return
	}
	if c.connected {
		c.connected = false
		c.host.log.Warn("store: lost", "topic", c.topic, "cause", err.Error())
	}
	c.host.feeder.log.MarkUnavailable(c.topic)
	c.lost()
}
