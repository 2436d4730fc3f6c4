// Package jsonhttp is the HTTP client that the adapters of this module share.
//
// The client never retries a request. fasthttp by default retries some requests
// when a keep-alive connection closes, so its retries are disabled. The kind of
// each error tells whether the request may have reached the peer: an error has
// [KindNotSent] only if no byte of the request left this host.
package jsonhttp
