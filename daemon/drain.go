package daemon

import (
	"context"
	"time"
)

const (
	// drainPollInterval is the time between two looks at what still runs.
	drainPollInterval = 20 * time.Millisecond
	// leaveGossipRounds is how many rounds of gossip the news of a leave may take
	// to all hosts.
	leaveGossipRounds = 3
	// closeTimeout bounds the closing of idle connections at the end.
	closeTimeout = 2 * time.Second
)

// drain is a graceful stop. The host vanishes from the answers to callers at
// once, but serves on for as long as callers may keep an older answer, and
// then until all that runs has ended. Only the bound of the settings cuts
// anything, and the log says how much.
func (d *Daemon) drain(s *servers) {
	start := time.Now()
	deadline := start.Add(d.cfg.Times.Drain.D())
	d.draining.Store(true)
	d.log.Info("daemon: draining", "requests", d.gate.ActiveRequests(), "claims", d.claims.Running())
	d.announceLeave()
	d.releaseLease()
	// Hosts that have not leaveKnownAt yet still name this one.
	leaveKnownAt := time.Now().Add(leaveGossipRounds * d.cfg.Times.GossipEvery.D())
	d.sleepUntil(leaveKnownAt.Add(d.cfg.Times.EntriesValid.D()), deadline)
	d.claims.Close()
	d.pollUntil(func() bool { return d.gate.ActiveRequests() == 0 && d.claims.Running() == 0 }, deadline)
	d.gate.Close()
	interrupted := max(d.gate.ActiveRequests(), d.claims.Running())
	if interrupted == 0 {
		d.appendFinalBatch(context.Background())
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.callers.ShutdownWithContext(ctx); err != nil {
		d.log.Warn("daemon: callers' server not closed in time", "cause", err.Error())
	}
	if err := s.operators.ShutdownWithContext(ctx); err != nil {
		d.log.Warn("daemon: operators' server not closed in time", "cause", err.Error())
	}
	d.log.Info("daemon: drained", "cut", interrupted, "took", time.Since(start).String())
}

func (d *Daemon) sleepUntil(t, deadline time.Time) {
	if deadline.Before(t) {
		t = deadline
	}
	time.Sleep(time.Until(t))
}

func (d *Daemon) pollUntil(done func() bool, deadline time.Time) {
	for !done() && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}
