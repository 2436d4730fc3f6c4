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
	// configPollTimeout and replicasPollTimeout are how long the store may hold a
	// read until there are changes. The first bounds the age of the confirmation
	// that API keys are valid, the second the time until a dead connection is
	// noticed.
	configPollTimeout   = 700 * time.Millisecond
	replicasPollTimeout = 2 * time.Second
	// feedRetryDelay is the pause after a failed poll of the source while the
	// store is unavailable, too.
	feedRetryDelay = 100 * time.Millisecond
	// membersTimeout bounds how long a host that has just started waits for the
	// group members before it continues reading.
	membersTimeout = 600 * time.Millisecond
	// replicasBatchDelay is the pause after a read with changes of the replica
	// list, so that the next read returns further changes in one batch.
	replicasBatchDelay = 700 * time.Millisecond
)

// subscription defines how this host reads and applies the changes of one topic.
type subscription struct {
	topic string
	// pollTimeout is how long the store may hold a read until there are changes.
	pollTimeout time.Duration
	// batchDelay is the pause after a read that returned changes.
	batchDelay time.Duration
	// apply applies changes.
	apply func(p feed.Page, from origin)
	// relayed returns an applied page as it is passed on to followers.
	relayed func(p feed.Page) feed.Page
	// confirm records that all changes up to a time are applied. The time is by
	// the clock of Host.freshness.
	confirm func(at time.Duration)
	// markDown records that the store does not respond.
	markDown func()
}

// origin describes where a page comes from.
type origin struct {
	// snapshot is set if the page has the complete state of the topic.
	snapshot bool
	// direct is set if the page was read from the store.
	direct bool
}

// cursor reads one topic and tracks the position in it. Only the loop that
// follow starts uses it.
type cursor struct {
	subscription
	host *Host
	// next is the position of the next change to read, or feed.Start to read a snapshot.
	next feed.Position
	// connected is cleared when a read of the store fails, and set when changes
	// are received again from the store or from another host. backoff computes the
	// delay between failing reads, and retryAt is when the store is read next.
	connected bool
	backoff   feed.Backoff
	retryAt   time.Time
	// source names the current or last source host. sourceCurrentAsOf is the
	// latest time, by the clock of the source, as of which it has reported the
	// topic to be current; clockOffset converts it to this host's clock.
	source            string
	sourceCurrentAsOf time.Duration
	clockOffset       feed.ClockOffset
	// sourceResponds is set if the source answered the last poll, even if it can't read
	// the store either.
	sourceResponds bool
	// avoidedSource names the source that failed last. It is not polled before
	// avoidedUntil.
	avoidedSource string
	avoidedUntil  time.Time
	// large is set if the next changes are known to be large.
	large bool
	// skipWait is set if the store must answer the next read at once: the last
	// response of the source may be outdated, and other hosts may be waiting for
	// this one to start reading.
	skipWait bool
}

// follow reads a snapshot of a topic and then its changes, until ctx ends.
func (h *Host) follow(ctx context.Context, s subscription) <-chan error {
	done := make(chan error, 1)
	c := &cursor{subscription: s, host: h, next: feed.Start, connected: true}
	go func() {
		defer func() { done <- nil }()
		for ctx.Err() == nil {
			c.step(ctx)
		}
	}()
	return done
}

// step receives changes from the source or from the store. While neither
// responds, the store is read with backoff, and in between the source is
// polled, so that its recovery is noticed early.
func (c *cursor) step(ctx context.Context) {
	now := time.Now()
	source, hasSource := c.host.group.feedSource()
	switch {
	case hasSource && !c.connected && now.Before(c.retryAt):
		pollCtx, cancel := context.WithDeadline(ctx, c.retryAt)
		defer cancel()
		if !c.pollSource(pollCtx, source) {
			loop.SleepContext(pollCtx, feedRetryDelay)
		}
		return
	case hasSource && c.connected && (source.Name != c.avoidedSource || now.After(c.avoidedUntil)):
		if !c.pollSource(ctx, source) {
			c.avoidedUntil = now.Add(sourceCooldown)
			c.avoidedSource = source.Name
		}
		return
	}
	if c.readStore(ctx) {
		c.backoff.RecordSuccess()
		return
	}
	wait := c.backoff.RecordFailure(c.role(hasSource))
	c.retryAt = time.Now().Add(wait)
	if !hasSource {
		loop.SleepContext(ctx, wait)
	}
}

// role returns from whom this host receives the topic while it can't read the store.
func (c *cursor) role(hasSource bool) feed.Role {
	switch {
	case !hasSource:
		return feed.Reader
	case c.sourceResponds:
		return feed.WaitingFollower
	}
	return feed.Follower
}

// pollSource receives changes from a host that reads the store, and reports
// whether it succeeded.
func (c *cursor) pollSource(ctx context.Context, from Peer) (ok bool) {
	if c.source != from.Name {
		c.host.log.Info("feed: following source", "topic", c.topic, "from", from.Name)
		c.source = from.Name
		c.sourceCurrentAsOf = 0
	}
	// If the poll fails, the store is read without waiting, to catch up on changes
	// missed in the meantime.
	c.skipWait = true
	sentAt := c.host.freshness.Now()
	members, memberCount := c.host.group.knownMembers()
	resp, err := c.host.feed.poll(ctx, from, feed.Request{
		Topic: c.topic, Next: c.next.Offset, Era: c.next.Era, KnowsEras: true, CurrentAsOf: c.sourceCurrentAsOf,
		Generation: members.Number, GroupEra: members.Era, MemberCount: memberCount, Wait: feedPollTimeout, WaitForReader: !c.connected,
	})
	if ctx.Err() == nil {
		c.sourceResponds = err == nil || errors.Is(err, errUnusableResponse)
	}
	if err != nil {
		if c.connected && ctx.Err() == nil {
			c.host.log.Info("feed: polling the source failed, reading the store instead", "topic", c.topic, "from", from.Name, "cause", err.Error())
		}
		return false
	}
	if resp.Members != nil {
		c.host.group.setMembers(*resp.Members)
	}
	c.clockOffset.AddSample(resp, sentAt)
	c.avoidedSource = ""
	if resp.Fetch {
		// The page is too large to be relayed, so this host reads it from the store
		// unless the store is unavailable.
		c.large = true
		return c.connected && c.readStore(ctx)
	}
	page, err := resp.Open()
	if err != nil {
		c.host.log.Error("feed: decoding the source's page failed, page ignored", "topic", c.topic, "from", from.Name, "cause", err.Error())
		return false
	}
	c.sourceCurrentAsOf = resp.CurrentAsOf
	if resp.Settled {
		c.host.era.settle(page.Era)
	}
	c.applyPage(page, origin{snapshot: resp.Snapshot}, c.clockOffset.ToLocal(resp.CurrentAsOf))
	return true
}

// readStore receives changes from the store, and reports whether it succeeded.
func (c *cursor) readStore(ctx context.Context) (ok bool) {
	sentAt := c.host.freshness.Now()
	var p feed.Page
	var err error
	switch {
	case c.next == feed.Start:
		p, err = c.host.store.Newest(c.topic)
	case c.large && c.connected:
		p, err = c.host.store.ReadLarge(c.topic, c.next)
	case c.skipWait || !c.connected:
		// Without a wait time, a store that has recovered answers at once, and a
		// store that has not does not block this host.
		p, err = c.host.store.Read(c.topic, c.next, 0)
	default:
		p, err = c.host.store.Read(c.topic, c.next, c.pollTimeout)
	}
	c.skipWait, c.large = false, false
	switch {
	case err != nil && isExpired(err) && c.next != feed.Start:
		c.host.log.Info("store: position expired, reading a snapshot", "topic", c.topic, "position", c.next, "cause", err.Error())
		c.next = feed.Start
		return c.readStore(ctx)
	case err != nil:
		c.recordFailure(err)
		return false
	}
	c.host.logSkipped(c.topic, p)
	c.applyPage(p, origin{snapshot: c.next == feed.Start, direct: true}, sentAt)
	if c.batchDelay > 0 && len(p.Changes) > 0 && !p.Partial {
		loop.SleepContext(ctx, c.batchDelay)
	}
	c.awaitMembers(ctx)
	return true
}

// logSkipped logs the changes of a page that this host cannot hold.
func (h *Host) logSkipped(topic string, p feed.Page) {
	for _, s := range p.Skipped {
		h.log.Error("store: record is too large for this host, record skipped", "topic", topic, "key", s.Key,
			"position", feed.Position{Era: p.Era, Offset: s.Offset}, "bytes", s.Bytes, "limit", maxRecordBytes(h.cfg))
	}
}

// awaitMembers waits until the group members have been read once, which tells a
// host that has just started whether it has a source. It waits at most
// membersTimeout.
func (c *cursor) awaitMembers(ctx context.Context) {
	t := time.NewTimer(membersTimeout)
	defer t.Stop()
	select {
	case <-c.host.group.membersRead:
	case <-t.C:
	case <-ctx.Done():
	}
}

// applyPage applies a page and makes it available to followers. currentAsOf is
// the time as of which the page is current, unless it is partial.
func (c *cursor) applyPage(p feed.Page, from origin, currentAsOf time.Duration) {
	if !c.connected {
		c.connected = true
		c.host.log.Info("store: topic available again", "topic", c.topic, "direct", from.direct, "from", c.next, "next", p.End(), "snapshot", from.snapshot)
	}
	if from.snapshot || len(p.Changes)+len(p.Skipped) > 0 {
		c.apply(p, from)
		c.host.feed.log.Put(c.topic, c.relayed(p), from.snapshot)
	}
	c.next = p.End()
	if p.Partial {
		c.host.log.Info("store: read a part of the changes, reading on", "topic", c.topic, "next", c.next)
		c.host.feed.log.MarkPartial(c.topic, currentAsOf)
		return
	}
	c.confirm(currentAsOf)
	c.host.feed.log.MarkCurrent(c.topic, currentAsOf, from.direct)
}

// isExpired reports whether the store no longer has the position that was read.
func isExpired(err error) bool {
	var e *platform.Error
	return errors.As(err, &e) && e.Kind == platform.KindExpired
}

// recordFailure handles a failed read of the store. It logs only the first one
// of a series.
func (c *cursor) recordFailure(err error) {
	if c.connected {
		c.connected = false
		c.host.log.Warn("store: read failed, retrying", "topic", c.topic, "cause", err.Error())
	}
	c.host.feed.log.MarkUnavailable(c.topic)
	c.markDown()
}
