// Package jsonhttp is the HTTP client that every adapter uses.
//
// It never sends a request twice: fasthttp repeats some requests by itself
// when a kept-alive connection closes, so that is switched off. Each error
// says whether the request can have reached the peer. [KindNotSent] is given
// only when no byte of it left this host.
package jsonhttp
