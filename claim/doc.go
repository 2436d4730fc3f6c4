// Package claim makes a call run at most once, however often and to whichever host
// its caller repeats it.
//
// Every key has one [Home]: a host in one of its incarnations. An issued [Key] names
// its home, so that any host knows where to forward a repeat. Only the home runs
// the call. Its [Table] claims a key before the first byte of the call is sent,
// and keeps the result for repeats. Every result is final: the call of a key that
// was rejected as not run never runs, even if an older copy of it arrives later.
//
// The claims of a home are lost when it stops, so its keys are never run again.
// Their outcomes are known only from its [Journal] in the platform's log (see
// package hostlog), which every host reads into a [Ledger]. Sending the call, and
// writing and reading the log, are left to the caller.
package claim
