// Package replicahttp sends one HTTP request to one replica over a connection
// of its own, byte by byte as the caller sent it.
//
// No connection is used twice: bytes that a replica sends behind a whole
// answer, late answers, and connections that went silent can so reach no other
// request. Whoever cancels the context ends the exchange at once.
package replicahttp
