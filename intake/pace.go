package intake

import "time"

// Pace is the lowest rate at which bodies may arrive.
type Pace struct {
	// Grace is the time within which a body may arrive at any rate.
	Grace time.Duration
	// BytesPerSecond is the average rate after that.
	BytesPerSecond int
}

// Allowance returns the time since the beginning of a body at which it is too slow unless
// more than the given number of bytes has arrived.
func (p Pace) Allowance(received int) time.Duration {
	return max(p.Grace, time.Duration(float64(received)/float64(p.BytesPerSecond)*float64(time.Second)))
}
