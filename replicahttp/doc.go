// Package replicahttp sends a single HTTP request to a replica over a new
// connection. The request target and the body are sent unchanged. [Exchange] does so
// and returns the response; its [Error] tells whether the request may have been sent.
// Package http1 decides what is a response and what is a whole one. Retries are left to the
// caller.
//
// Connections are never reused, so that surplus bytes after a response, late
// responses and hung connections cannot affect another request. Cancelling the
// context closes the connection and ends the exchange at once.
package replicahttp
