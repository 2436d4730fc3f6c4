// Package forward sends the request of a caller to replicas and returns the answer.
//
// A [Forwarder] selects the replica for a request, decides whether to send it to
// another one, which requests are refused as not run, and how a stream resumes
// after the last event that the caller has received. It is independent of the
// transport: an [Upstream] sends the requests, and the server that accepts callers
// passes in a [Request] and returns the [Response].
package forward
