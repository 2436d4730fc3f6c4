// Package forward sends the request of a caller to replicas and returns the answer.
//
// A [Forwarder] selects the replica for a request, decides whether to send it to
// another one, which requests are refused as not run, and how a stream resumes
// after the last event that the caller has received. A request to a plain service,
// which runs no model, is answered by one replica as a whole.
//
// The replicas of a service that runs a model are its engines, each of which holds
// some of the model's layers. A stream is answered event by event by the engines of a
// path, which together run all layers. The first engine of the path receives the
// request and returns the events. To reroute a stream is to replace other engines of
// its path, because they are down, slow or draining, while the answer continues. If
// that is not possible, the stream is resumed by a new attempt: the request is sent
// again, for the events after the last one received.
//
// A [RetryBudget] limits the sends beyond the first of each request; package retrybudget
// implements it.
//
// The package is independent of the transport: an [Upstream] sends the requests, and
// the server that accepts callers passes in a [Request] and returns the [Response].
// [Tables] provides the configuration. Package replica selects the replicas of plain
// services, and package pipeline the paths of streams.
package forward
