// Package directory maintains one host's knowledge of all others: which are
// live, which are leaving, which model layers the engines hold, and which
// services run where.
//
// Updates come from the list of hosts that the operators' platform keeps, which
// lags behind, from the hosts themselves and from other entry hosts, in any order
// and possibly more than once. Each update carries the incarnation that it refers
// to: the number of one run of the host's process, which is higher for a later
// run. Updates about an older incarnation are ignored, and an incarnation that is
// leaving never becomes live again. So the earliest sign that a host is leaving
// takes effect, without hiding a later incarnation.
//
// A [Directory] is updated under a lock. It publishes a [View], which is
// immutable and chooses routes and model versions among the hosts that accept
// new work.
//
// The package does no I/O and reads no clock: callers pass the updates that
// they receive, with the current time. Routes are computed by package route.
package directory
