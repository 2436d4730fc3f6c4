// Package load drives a running system as its callers would, and checks what
// it is told.
//
// The loop is open: each request has an intended time, and its latency counts
// from then, so that a system that stalls is not spared the requests of the
// stall. A caller keeps an answer about addresses for as long as it is valid,
// tries another address when one fails, and repeats a non-idempotent call only
// under its own key.
package load
