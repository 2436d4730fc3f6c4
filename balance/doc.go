// Package balance spreads work over endpoints. It counts this host's own work on
// each endpoint, since load reports lag behind it. It draws two candidates at
// random and picks the less loaded one, so that hosts with the same stale reports
// do not all choose the same endpoint.
package balance
