package completion

import "time"

const (
	// paceTokens is the number of tokens that a pace is judged by.
	paceTokens = 4
	// slowFactor and slowFloor are how far a stream may fall behind its
	// plan before a better route is looked for.
	slowFactor = 4
	slowFloor  = 40 * time.Millisecond
	// worthwhile is how many times as fast another route must be.
	worthwhile = 2
	// maxMoves is how often one request leaves a route for being slow. More
	// would not help one that is slow everywhere.
	maxMoves = 2
	// paceWeight is the weight of the newest gap in the mean.
	paceWeight = 0.4
)

// pace is the time between the tokens of one attempt.
type pace struct {
	last time.Time
	mean time.Duration
	n    int
}

// note takes a token that arrived now.
func (p *pace) note(now time.Time) {
	if p.last.IsZero() {
		p.last = now
		return
	}
	gap := now.Sub(p.last)
	p.last = now
	p.n++
	if p.n == 1 {
		p.mean = gap
		return
	}
	p.mean += time.Duration(paceWeight * float64(gap-p.mean))
}

// skip leaves out the time up to now, which the caller took.
func (p *pace) skip(now time.Time) { p.last = now }

// behind reports whether the stream is far behind a planned time per token.
func (p *pace) behind(planned time.Duration) bool {
	return p.n >= paceTokens && p.mean > slowFactor*planned+slowFloor
}
