// Package lease elects the single host that controls the engines.
//
// The lease is a replicated state machine over the platform's log: [State.Apply]
// applies one [Record]. A claim names the last accepted lease record that its
// writer saw, and is accepted if that is still the last one. Of two competing
// claims, every host therefore accepts the one that comes first in the log. The
// offset of an accepted claim is the grant, which serves as the fencing token of
// orders.
//
// The log contains no timestamps. A holder measures its term on its own clock
// from before it appended its last accepted record. A challenger measures from
// when it read that record, on its own clock, and waits for a margin longer. The
// challenger's wait thus starts later and lasts longer, so the holder has stopped
// before anyone else can claim, provided that their clocks do not drift apart by
// more than the margin during a term.
//
// If the log is restored from a backup, hosts may know records that it has
// lost. [Elector.Reset] then makes an unknown host the holder for all of them, so that
// nobody claims the lease before whoever held it has stopped.
//
// An [Elector] runs this protocol on one host: it determines which record to append
// next, and whether the host holds the lease. It is up to the caller to read and
// append the records, and to provide the time.
package lease
