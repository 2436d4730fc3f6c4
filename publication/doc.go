// Package publication maintains one host's state derived from the platform's
// log: the rule file in force, and the lease.
//
// A [Follower] applies the log, and accepts newer snapshots from peers. Readers
// get the file in force without taking a lock. A follower only ever moves to a
// newer version. Records age out of the log, so the holder of the lease repeats
// the state as a [Snapshot] record well before they do. From that record, or
// from a peer's snapshot, a new host can resume at the current start of the
// log.
package publication
