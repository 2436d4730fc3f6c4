// Package admit is the admission control: it decides, before any work is done,
// whether a request starts, waits or is rejected.
//
// Each customer with a limit in the rules has a token bucket. Each pool (a
// model, or all plain services) has as many slots on this host as the endpoints
// behind it can use. A request that finds no free slot is queued. Higher
// priorities are admitted first; within a priority, customers share the slots by
// weighted fair queueing, so that a customer that sends many requests delays
// only its own. A request that can't meet its deadline behind those already
// queued is rejected at once, as not run.
package admit
