package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"bulrushshed/hostlog"
	"bulrushshed/lease"
	"bulrushshed/publication"
)

// leasePollInterval is the time between two checks of the lease.
const leasePollInterval = 100 * time.Millisecond

// eraBaseInterval is the time between two checks whether the log's era has a base.
const eraBaseInterval = 500 * time.Millisecond

// leaseHolderName returns the name of this host's current incarnation in lease
// records.
func (d *Daemon) leaseHolderName() string {
	return fmt.Sprintf("%s.%d", d.self.Host, d.self.Incarnation)
}

// maintainLease tries to acquire the lease if it has no holder, and renews it while
// this host holds it. Only a reader of the log does so, because other hosts
// read the lease records with a long delay.
func (d *Daemon) maintainLease(context.Context) {
	if d.draining.Load() || !d.isReader() {
		return
	}
	if r, ok := d.follower.NextLeaseRecord(time.Now()); ok {
		d.appendLease(r)
	}
}

// appendLease appends a lease record. A failed append needs no handling: a
// record is accepted only when it is read back from the log.
func (d *Daemon) appendLease(r lease.Record) {
	body, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	_, err = d.platform.Append(hostlog.Entry{ID: r.ID, Type: hostlog.RecordLease, Body: body})
	if err != nil {
		d.log.Debug("daemon: appending lease record failed", "cause", err.Error())
	}
}

// releaseLease releases the lease during a graceful shutdown.
func (d *Daemon) releaseLease() {
	if r, ok := d.follower.ReleaseLease(); ok {
		d.appendLease(r)
	}
}

// appendCheckpoint appends the current state to the log, if this host holds the
// lease.
func (d *Daemon) appendCheckpoint(context.Context) {
	if _, ok := d.follower.Holds(time.Now()); !ok {
		return
	}
	if s, ok := d.follower.Snapshot(); ok && s.Rules.Version > 0 {
		d.appendSnapshot(s)
	}
}

// appendEraBase appends the state from which a new era of the log begins, if this host
// holds the lease and the log has none.
func (d *Daemon) appendEraBase(context.Context) {
	if s, ok := d.follower.EraBase(time.Now()); ok {
		d.log.Warn("daemon: appending the state from which the log's new era begins", "version", s.Rules.Version, "era", s.Rules.Era)
		d.appendSnapshot(s)
	}
}

func (d *Daemon) appendSnapshot(s publication.Snapshot) {
	body, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	e := hostlog.Entry{ID: publication.NewID(), Type: hostlog.RecordCheckpoint, Body: body}
	if _, err := d.platform.Append(e); err != nil {
		d.log.Warn("daemon: appending checkpoint failed; the next one is due after checkpoint_every", "cause", err.Error())
	}
}
