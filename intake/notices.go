package intake

import (
	"sync"
	"time"
)

// Cause is why a request was refused or a connection closed.
type Cause string

// The causes that concern connections.
const (
	// CauseHeaderTimeout means that a header was not complete in time.
	CauseHeaderTimeout Cause = "header_timeout"
	// CauseConnections means that the bound of the connections was reached.
	CauseConnections Cause = "connections"
	// CauseDescriptors means that no descriptor was left.
	CauseDescriptors Cause = "descriptors"
)

// noticeInterval is the minimum time between two log lines for a cause. A flood of
// refusals would otherwise cost more in log lines than in itself.
const noticeInterval = 100 * time.Millisecond

// Notices bounds the log lines for each cause. The zero value is ready for use, and it is
// safe for concurrent use.
type Notices struct {
	mu     sync.Mutex
	states map[Cause]*noticeState
}

type noticeState struct {
	last    time.Time
	omitted int
}

// Allow reports whether a line may be logged now, and if so, how many were omitted since
// the last one.
func (n *Notices) Allow(cause Cause, now time.Time) (omitted int, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.states == nil {
		n.states = map[Cause]*noticeState{}
	}
	s, known := n.states[cause]
	if !known {
		s = &noticeState{}
		n.states[cause] = s
	}
	if known && now.Sub(s.last) < noticeInterval {
		s.omitted++
		return 0, false
	}
	omitted = s.omitted
	s.last, s.omitted = now, 0
	return omitted, true
}
