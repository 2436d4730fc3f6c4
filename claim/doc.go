// Package claim makes a call run at most once, however often and wherever its
// caller repeats it.
//
// Every key has one home: a host in one of its incarnations. An issued [Key]
// names its home itself, so that any host knows where a repeat belongs. The
// home alone runs the call. Its [Table] claims a key before the first byte of
// the call leaves, and keeps the result for repeats. Every result is final: a
// key that was once refused as not run never runs, even if an older copy of
// its call arrives later.
//
// A home that has gone has taken its claims along, so its keys are never run
// again. What became of them is known only from its [Journal] in the log,
// which every host folds into a [Ledger].
package claim
