// Package balance spreads work over endpoints.
//
// [Inflight] counts this host's own work on each endpoint, since the load that
// endpoints report lags behind it. [Pick] draws two replicas of a service at random
// and returns the less loaded one, so that hosts with the same stale reports do not
// all choose the same endpoint. Which replicas accept new work is left to the
// caller.
package balance
