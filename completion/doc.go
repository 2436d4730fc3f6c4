// Package completion answers a prompt token by token across failures.
//
// [Progress] is the aggregate: it holds the tokens that the caller has and the
// attempt that is live, and decides of each event whether it is the next
// token, a late one, or a sign that the attempt has failed. A [Runner] drives
// it: it plans a route, reads the stream, and begins the next attempt behind
// the last delivered token, so that the caller sees each position once.
package completion
