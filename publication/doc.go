// Package publication keeps what one host has folded from the platform's log:
// the rule file in force, and the lease.
//
// A [Keeper] folds the log, and takes newer snapshots from peers. Readers take
// the file in force without a lock. The keeper only ever moves to a newer
// version. Records age out of the log, so the holder of the lease repeats the
// state as a [Snapshot] record well before; with it, or with a peer's, a fresh
// host joins the log where it now begins.
package publication
