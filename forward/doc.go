// Package forward carries one request from a caller to replicas and one answer
// back.
//
// A [Forwarder] decides to which replica a request goes, when it goes to a
// second one, what is refused as not run, and how a stream goes on behind the
// last event that the caller has. It knows no sockets: an [Upstream] sends, and
// whoever serves callers hands in a [Request] and passes the [Response] on.
package forward
