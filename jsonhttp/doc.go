// Package jsonhttp is the HTTP client on which the clients of the other packages, such
// as enginehttp, are built.
//
// A [Client] sends each request on a connection of its own, and never retries one. Call
// sends and receives JSON, Exchange and Do return any complete response, and Open returns
// the response as a [Stream] that is read as it arrives. Package http1 decides what is a
// response and what is a whole one.
//
// The kind of each error tells whether the request may have reached the server: an error
// has [KindNotSent] only if no byte of the request left this host. What a status means is
// left to the packages that use the client.
package jsonhttp
