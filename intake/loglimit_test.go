package intake_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/intake"
)

// Callers that are refused at a high rate must not fill the log, nor may the omitted lines
// go unnoticed.
func TestLogLinesAreBoundedPerCause(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var l intake.LogLimiter
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		at      time.Duration
		cause   intake.Cause
		omitted int
		ok      bool
	}{
		{0, intake.CauseConnections, 0, true},
		{time.Millisecond, intake.CauseConnections, 0, false},
		{99 * time.Millisecond, intake.CauseConnections, 0, false},
		{99 * time.Millisecond, intake.CauseDescriptors, 0, true},
		{100 * time.Millisecond, intake.CauseConnections, 2, true},
		{300 * time.Millisecond, intake.CauseConnections, 0, true},
	} {
		omitted, ok := l.Allow(string(c.cause), start.Add(c.at))
		is.Equal(omitted, c.omitted)
		is.Equal(ok, c.ok)
	}
}
