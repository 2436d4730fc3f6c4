// Package jsonhttp is the HTTP client on which the clients of the other packages, such
// as enginehttp, are built.
//
// A [Client] has four methods: Call sends and receives JSON, Do returns any complete
// response, Exchange does so on a new connection, and Open returns the response as
// a [Stream] that is read as it arrives.
//
// The client never retries a request. fasthttp by default retries some requests
// when a keep-alive connection closes, so its retries are disabled. The kind of
// each error tells whether the request may have reached the server: an error has
// [KindNotSent] only if no byte of the request left this host. What a status means
// is left to the packages that use the client.
package jsonhttp
