package daemon

import (
	"time"

	"github.com/samber/lo"

	"bulrushshed/gossip"
	"bulrushshed/hostlog"
	"bulrushshed/publication"
)

const (
	// slowReadInterval is the time between two reads of the log by a host that
	// is not a reader.
	slowReadInterval = 8 * time.Second
	// readerPollInterval is how often a host checks whether it has become a
	// reader.
	readerPollInterval = 500 * time.Millisecond
	// catchUpWait is how long catchUp waits for the records to be read.
	catchUpWait = 500 * time.Millisecond
)

// throttledLog limits the rate at which a large fleet reads the log. A few hosts in
// each failure domain, the readers, read new records at once. All other hosts
// read rarely and learn of changes from the readers by gossip.
type throttledLog struct{ d *Daemon }

var _ publication.Log = throttledLog{}

// Read returns the records from an offset on. It delays the read if this host
// is not a reader.
func (l throttledLog) Read(from int64, limit int, wait time.Duration) (hostlog.Page, error) {
	if l.d.isReader() {
		return l.d.platform.Read(from, limit, wait)
	}
	for waited := time.Duration(0); waited < slowReadInterval && !l.d.isReader(); waited += readerPollInterval {
		select {
		case <-l.d.readTrigger:
			waited = slowReadInterval
		case <-time.After(readerPollInterval):
		}
	}
	return l.d.platform.Read(from, limit, 0)
}

// isReader reports whether this host reads new log records at once. A host that
// has not joined yet always does.
func (d *Daemon) isReader() bool {
	if !d.joined.Load() {
		return true
	}
	members := lo.Map(d.directory.View().Entries, func(h hostlog.Host, _ int) gossip.Member {
		return gossip.Member{Name: h.Name, FailureDomain: h.FailureDomain}
	})
	return gossip.IsReader(gossip.Member{Name: d.self.Host, FailureDomain: d.cfg.FailureDomain}, members)
}

// catchUp makes a host that is not a reader read the log now, and waits for
// catchUpWait.
func (d *Daemon) catchUp() {
	if d.isReader() {
		return
	}
	d.triggerRead()
	time.Sleep(catchUpWait)
}

// triggerRead ends the delay before a slow read.
func (d *Daemon) triggerRead() {
	select {
	case d.readTrigger <- struct{}{}:
	default:
	}
}
