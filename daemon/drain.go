package daemon

import (
	"context"
	"time"
)

const (
	// drainPoll is the time between two looks at what still runs.
	drainPoll = 20 * time.Millisecond
	// spreadRounds is how many rounds of gossip the news of a leave may take
	// to all hosts.
	spreadRounds = 3
	// closeWait bounds the closing of idle connections at the end.
	closeWait = 2 * time.Second
)

// drain is a graceful stop. The host vanishes from the answers to callers at
// once, but serves on for as long as callers may keep an older answer, and
// then until all that runs has ended. Only the bound of the settings cuts
// anything, and the log says how much.
func (d *Daemon) drain(s *servers) {
	start := time.Now()
	bound := start.Add(d.cfg.Times.Drain.D())
	d.draining.Store(true)
	d.log.Info("daemon: draining", "requests", d.gate.ActiveRequests(), "claims", d.claims.Running())
	d.tellLeaving()
	d.releaseLease()
	// Hosts that have not heard yet still name this one.
	heard := time.Now().Add(spreadRounds * d.cfg.Times.GossipEvery.D())
	d.waitUntil(heard.Add(d.cfg.Times.EntriesValid.D()), bound)
	d.claims.Close()
	d.waitFor(func() bool { return d.gate.ActiveRequests() == 0 && d.claims.Running() == 0 }, bound)
	d.gate.Close()
	cut := max(d.gate.ActiveRequests(), d.claims.Running())
	if cut == 0 {
		d.settle(context.Background())
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	if err := s.callers.ShutdownWithContext(ctx); err != nil {
		d.log.Warn("daemon: callers' server not closed in time", "cause", err.Error())
	}
	if err := s.operators.ShutdownWithContext(ctx); err != nil {
		d.log.Warn("daemon: operators' server not closed in time", "cause", err.Error())
	}
	d.log.Info("daemon: drained", "cut", cut, "took", time.Since(start).String())
}

func (d *Daemon) waitUntil(t, bound time.Time) {
	if bound.Before(t) {
		t = bound
	}
	time.Sleep(time.Until(t))
}

func (d *Daemon) waitFor(done func() bool, bound time.Time) {
	for !done() && time.Now().Before(bound) {
		time.Sleep(drainPoll)
	}
}
