// Package intake bounds what callers may hold on a host.
//
// A [Ledger] bounds the memory of requests. Each request that is being read or served has
// an [Entry], and bytes are reserved for it before they are read. If a reservation does not
// fit, the ledger evicts requests that are still being read and hold many bytes for their
// rate of arrival. A request that has been read completely is never evicted, since it may
// be running. If there is nothing to evict, the requesting entry waits shortly and is then
// refused.
//
// [Pace] decides until when the next bytes of a body must arrive, and [LogLimiter] which
// refusals are logged.
//
// The package reads no clock, does no I/O and starts no goroutine. It tells the owner of an
// entry through [Holder] that the entry is evicted.
package intake
