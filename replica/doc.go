// Package replica tracks the replicas of each service and selects the one that
// receives a request.
//
// A [List] holds the entries that replicas publish about themselves, and
// provides immutable snapshots of them, the [View]s. Its caller reads the
// entries from the store and reports when the store is down.
//
// A replica may also say in an answer that it leaves, before its entry says so or instead of
// it. Its incarnation counts as draining from then on.
//
// A [Picker] selects among the replicas of a plain service, which is one that
// runs no model, by the number of requests in flight from this host and by the
// outcome of earlier requests. Package pipeline selects among engines, which
// are the replicas of a service that runs a model.
package replica
