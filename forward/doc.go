// Package forward sends the request of a caller to replicas and returns the answer.
//
// A [Forwarder] selects the replica for a request, decides whether to send it to
// another one, which requests are refused as not run, and how a stream resumes
// after the last event that the caller has received. A request to a plain service is
// answered by one replica as a whole. A stream is answered event by event by the
// engines of a path: it is rerouted off engines that are down, slow or draining, and
// otherwise resumed by a new attempt. A [Budget] limits the sends beyond the first
// of each request.
//
// The package is independent of the transport: an [Upstream] sends the requests, and
// the server that accepts callers passes in a [Request] and returns the [Response].
// [Tables] provides the configuration. Package replica selects the replicas of plain
// services, and package pipeline the paths of streams.
package forward
