package ratelimit

import "time"

// Exhausted has the replicas that a request was not sent to, as they take no more requests
// for a moment. R describes a replica. The zero value is empty.
type Exhausted[R any] struct {
	// Replicas has the incarnations of the replicas.
	Replicas []string
	// Soonest is the replica that takes a request first, after Wait.
	Soonest R
	Wait    time.Duration
}

// Add adds a replica that takes the next request after wait.
func (e *Exhausted[R]) Add(r R, incarnation string, wait time.Duration) {
	if len(e.Replicas) == 0 || wait < e.Wait {
		e.Soonest, e.Wait = r, wait
	}
	e.Replicas = append(e.Replicas, incarnation)
}
