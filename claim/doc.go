// Package claim makes a call run at most once, however often and wherever its
// caller repeats it.
//
// Every key has one home: a host in one of its incarnations. An issued [Key]
// names its home itself, so that any host knows where a repeat belongs. The
// home alone runs the call. Its [Table] claims a key before the first byte of
// the call leaves, and keeps the answer for repeats. A home that has gone has
// taken its claims along, so a key of such a home is never run again: nobody
// can tell whether it ran.
package claim
