package daemon

import (
	"time"

	"github.com/samber/lo"

	"bulrushshed/gossip"
	"bulrushshed/hostlog"
	"bulrushshed/publication"
)

const (
	// slowReadInterval is the time between two reads of the log by a host that leaves
	// it to others to read it as it grows.
	slowReadInterval = 8 * time.Second
	// readerPollInterval is the time between two looks at who reads the log.
	readerPollInterval = 500 * time.Millisecond
	// catchUpWait bounds the wait for what the log has to be read.
	catchUpWait = 500 * time.Millisecond
)

// pacedLog reads the log as it grows on a few hosts of each failure domain, and
// now and then on all others, which hear of news from those.
type pacedLog struct{ d *Daemon }

var _ publication.Log = pacedLog{}

// Read returns records from an offset on, at the pace of this host's part.
func (l pacedLog) Read(from int64, limit int, wait time.Duration) (hostlog.Page, error) {
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

// isReader reports whether this host isReader the log as it grows. A host that has
// not joined yet does.
func (d *Daemon) isReader() bool {
	if !d.joined.Load() {
		return true
	}
	members := lo.Map(d.directory.View().Entries, func(h hostlog.Host, _ int) gossip.Member {
		return gossip.Member{Name: h.Name, FailureDomain: h.FailureDomain}
	})
	return gossip.IsReader(gossip.Member{Name: d.self.Host, FailureDomain: d.cfg.FailureDomain}, members)
}

// catchUp makes a host that reads the log seldom read it now.
func (d *Daemon) catchUp() {
	if d.isReader() {
		return
	}
	d.triggerRead()
	time.Sleep(catchUpWait)
}

// triggerRead ends the wait before a slow read.
func (d *Daemon) triggerRead() {
	select {
	case d.readTrigger <- struct{}{}:
	default:
	}
}
