package daemon

import (
	"context"
	"log/slog"
	"net"
	"time"
)

const (
	// drainPollInterval is the time between two checks for unfinished requests.
	drainPollInterval = 20 * time.Millisecond
	// leaveGossipRounds is the number of gossip rounds in which a leave notice
	// reaches all hosts.
	leaveGossipRounds = 3
	// closeTimeout limits how long the last bytes of responses may take at the end.
	closeTimeout = 2 * time.Second
)

// drain performs a graceful shutdown. The host removes itself from the entry
// lists given to callers at once, keeps serving for as long as callers may use
// an older list, refuses new requests from then on, and waits until all have ended.
// Requests are interrupted only at the configured drain timeout; the last log line reports
// how many.
func (d *Daemon) drain(s *servers) {
	start := time.Now()
	deadline := start.Add(d.cfg.Times.Drain.D())
	d.draining.Store(true)
	d.log.Info("daemon: draining", "requests", d.gate.ActiveRequests(), "claims", d.claims.Running())
	d.announceLeave()
	d.releaseLease()
	// Hosts that have not received the leave notice still list this one.
	leaveKnownAt := time.Now().Add(leaveGossipRounds * d.cfg.Times.GossipEvery.D())
	d.sleepUntil(leaveKnownAt.Add(d.cfg.Times.EntriesValid.D()), deadline)
	// From here on, new requests are refused, and the running ones end.
	d.claims.Close()
	d.gate.Close()
	d.closing.Store(true)
	closeListener(s.callerListener, d.log)
	d.pollUntil(func() bool { return d.gate.ActiveRequests() == 0 && d.claims.Running() == 0 }, deadline)
	d.connector.Stop()
	d.pollUntil(func() bool { return d.connector.Relayed() == 0 }, deadline)
	interrupted := max(d.gate.ActiveRequests(), d.claims.Running())
	if interrupted == 0 {
		d.appendFinalBatch(context.Background())
	}
	closeListener(s.operatorListener, d.log)
	d.interrupt()
	// The last bytes of responses may still be on their way to the network.
	d.pollUntil(func() bool { return s.callers.Active() == 0 }, time.Now().Add(closeTimeout))
	d.log.Info("daemon: drained", "cut", interrupted, "took", time.Since(start).String())
}

func closeListener(ln net.Listener, log *slog.Logger) {
	if err := ln.Close(); err != nil {
		log.Warn("daemon: listener did not close cleanly", "address", ln.Addr().String(), "cause", err.Error())
	}
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
