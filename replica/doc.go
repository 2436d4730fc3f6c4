// Package replica tracks the replicas of each service and selects the one that
// receives a request.
//
// A [List] maintains the entries that replicas publish about themselves and
// provides immutable snapshots of them, the [View]s. A [Picker] selects among
// the replicas of a plain service by the number of requests in flight from
// this host and by the outcome of earlier requests.
package replica
