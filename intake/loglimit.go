package intake

import (
	"sync"
	"time"
)

// logInterval is the shortest time between two log lines of the same cause.
const logInterval = 100 * time.Millisecond

// LogLimiter bounds the rate of log lines of each cause. It is safe for concurrent use; the
// zero value is ready for use.
type LogLimiter struct {
	mu     sync.Mutex
	causes map[string]*logState
}

// logState has the time of the last line of a cause, and the number of lines left out since.
type logState struct {
	loggedAt time.Time
	omitted  int
}

// Allow reports whether a line may be logged, and how many of the same cause were left out
// before it.
func (l *LogLimiter) Allow(cause string, now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.causes == nil {
		l.causes = map[string]*logState{}
	}
	s := l.causes[cause]
	if s == nil {
		s = &logState{loggedAt: now.Add(-logInterval)}
		l.causes[cause] = s
	}
	if now.Sub(s.loggedAt) < logInterval {
		s.omitted++
		return 0, false
	}
	omitted, s.omitted, s.loggedAt = s.omitted, 0, now
	return omitted, true
}
