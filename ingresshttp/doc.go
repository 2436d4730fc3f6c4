// Package ingresshttp serves callers over HTTP and hands each request to a
// forwarder.
//
// It is built on fasthttp, which does not notice that a caller has left while
// its request is being served. A [Listener] therefore makes connections that
// read ahead meanwhile, so that a forwarder's context ends with its caller.
package ingresshttp
