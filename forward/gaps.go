package forward

import (
	"slices"
	"time"
)

// recentGaps has the times between the latest events of an attempt.
type recentGaps struct {
	gaps [recordedGaps]time.Duration
	next int
}

// recordedGaps is the number of gaps that are kept.
const recordedGaps = 8

// record adds the time between two events.
func (g *recentGaps) record(gap time.Duration) {
	g.gaps[g.next%recordedGaps] = gap
	g.next++
}

// timeout returns how long the next event may take. While few gaps are known, it is the
// longest time that any stream is given.
func (g *recentGaps) timeout() time.Duration {
	if g.next < recordedGaps {
		return maxNextEventTimeout
	}
	longest := slices.Max(g.gaps[:])
	timeout := time.Duration(gapFactor*float64(longest)) + gapMargin
	return min(max(timeout, minNextEventTimeout), maxNextEventTimeout)
}
