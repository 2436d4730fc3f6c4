// Package admit is the admission control: it decides, before any work is done,
// whether a request starts, waits or is rejected.
//
// A [Gate] holds a token bucket for each customer with a limit in the rules, and
// a [Queue] for each pool (a model, or all plain services). A pool has as many
// slots on this host as the endpoints behind it can use. A request that finds no
// free slot is queued. Higher priorities are admitted first; within a priority,
// customers share the slots by weighted fair queueing, so that a customer that
// sends many requests delays only its own. A request that can't meet its deadline
// behind those already queued is rejected at once, as not run.
//
// Hosts share the limits and the pools in proportion to their demand. Each host
// smooths its demand with a [DemandEstimator] and reports it to the [Allocator] of
// the host that is responsible for the customer or the pool. The exchange between
// the hosts and the number of slots are left to the caller.
package admit
