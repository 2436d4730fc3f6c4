// Package balance spreads work over endpoints. It counts the own work on each
// endpoint, since reports of load lag behind it, and picks the less loaded of
// candidates that are drawn at random, so that hosts with the same stale
// reports do not all choose the same endpoint.
package balance
