package completion

import "time"

const (
	// minPaceSamples is the number of token intervals needed to judge a stream.
	minPaceSamples = 4
	// A stream is slow if its mean token interval exceeds slowFactor times the
	// planned one plus slowFloor.
	slowFactor = 4
	slowFloor  = 40 * time.Millisecond
	// minSpeedup is how many times as fast another route must be for a request
	// to leave its slow one.
	minSpeedup = 2
	// maxReroutes is how often a request may leave a route for being slow.
	// Further reroutes would not help a request that is slow on all routes.
	maxReroutes = 2
	// intervalSmoothing is the weight of the newest token interval in the mean.
	intervalSmoothing = 0.4
)

// tokenPace is the moving average of the time between the tokens of an attempt.
type tokenPace struct {
	last    time.Time
	mean    time.Duration
	samples int
}

// observe records a token that arrived now.
func (p *tokenPace) observe(now time.Time) {
	if p.last.IsZero() {
		p.last = now
		return
	}
	interval := now.Sub(p.last)
	p.last = now
	p.samples++
	if p.samples == 1 {
		p.mean = interval
		return
	}
	p.mean += time.Duration(intervalSmoothing * float64(interval-p.mean))
}

// exclude leaves the time up to now, which the caller took to accept a token, out
// of the next interval.
func (p *tokenPace) exclude(now time.Time) { p.last = now }

// isSlow reports whether the stream is far slower than the planned time per
// token.
func (p *tokenPace) isSlow(planned time.Duration) bool {
	return p.samples >= minPaceSamples && p.mean > slowFactor*planned+slowFloor
}
