package pipeline

import (
	"time"

	"bulrushshed/route"
)

const (
	// prefillSpeedup is how many times faster an engine reads a token of a prompt than it
	// generates one.
	prefillSpeedup = 250
	// backlogWeight is the cost of a time that a running stream waits until an engine has
	// read its tokens, relative to that of the same time for each token.
	backlogWeight = 0.25
)

// prefillBacklog estimates until when each engine reads the tokens of streams that were
// rerouted to it. All hosts reroute the streams of a failed engine at the same time, so an
// engine gets as many from each of the others as from this one.
type prefillBacklog struct {
	busyUntil map[string]time.Time
}

func newPrefillBacklog() prefillBacklog { return prefillBacklog{busyUntil: map[string]time.Time{}} }

// wait returns how long a stream would wait at an engine.
func (b prefillBacklog) wait(address string, now time.Time) time.Duration {
	return max(b.busyUntil[address].Sub(now), 0)
}

// add counts tokens that an engine reads in a number of layers.
func (b prefillBacklog) add(h route.Hop, layerTime time.Duration, tokens float64, now time.Time) {
	prefill := time.Duration(float64(layerTime) * float64(h.Layers.Len()) * tokens / prefillSpeedup)
	b.busyUntil[h.Address] = now.Add(b.wait(h.Address, now) + prefill)
}

// expire forgets the engines that have read all tokens.
func (b prefillBacklog) expire(now time.Time) {
	for address, until := range b.busyUntil {
		if !now.Before(until) {
			delete(b.busyUntil, address)
		}
	}
}
