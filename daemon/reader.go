package daemon

import (
	"time"

	"github.com/samber/lo"

	"bulrushshed/gossip"
	"bulrushshed/hostlog"
	"bulrushshed/publication"
)

const (
	// slowRead is the time between two reads of the log by a host that leaves
	// it to others to read it as it grows.
	slowRead = 8 * time.Second
	// readerPoll is the time between two looks at who reads the log.
	readerPoll = 500 * time.Millisecond
	// catchUp bounds the wait for what the log has to be read.
	catchUp = 500 * time.Millisecond
)

// pacedLog reads the log as it grows on a few hosts of each failure domain, and
// now and then on all others, which hear of news from those.
type pacedLog struct{ d *Daemon }

var _ publication.Log = pacedLog{}

// Read returns records from an offset on, at the pace of this host's part.
func (l pacedLog) Read(from int64, limit int, wait time.Duration) (hostlog.Page, error) {
	if l.d.reads() {
		return l.d.platform.Read(from, limit, wait)
	}
	for waited := time.Duration(0); waited < slowRead && !l.d.reads(); waited += readerPoll {
		select {
		case <-l.d.wake:
			waited = slowRead
		case <-time.After(readerPoll):
		}
	}
	return l.d.platform.Read(from, limit, 0)
}

// reads reports whether this host reads the log as it grows. A host that has
// not joined yet does.
func (d *Daemon) reads() bool {
	if !d.joined.Load() {
		return true
	}
	members := lo.Map(d.directory.View().Entries, func(h hostlog.Host, _ int) gossip.Member {
		return gossip.Member{Name: h.Name, FailureDomain: h.FailureDomain}
	})
	return gossip.IsReader(gossip.Member{Name: d.self.Host, FailureDomain: d.cfg.FailureDomain}, members)
}

// readNow makes a host that reads the log seldom read it now.
func (d *Daemon) readNow() {
	if d.reads() {
		return
	}
	d.wakeReader()
	time.Sleep(catchUp)
}

// wakeReader ends the wait before a slow read.
func (d *Daemon) wakeReader() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
