// Package admit decides, before any work is done, whether a request may start,
// waits, or is refused.
//
// Each customer with a limit in the rules has a token bucket. Each pool (a
// model, or all plain services) has as many places on this host as the
// endpoints behind it can use. A request that finds no place waits: a higher
// priority goes first, and inside one the customers share places by fair
// queueing, so that one that sends much waits behind its own requests and not
// before those of others. A request whose deadline can't be met behind those
// that wait already is refused at once, as not run.
package admit
