// Package publication maintains one host's state derived from the platform's
// log: the active rule file, and the lease.
//
// A [Follower] applies the log, and accepts newer snapshots from peers. Readers
// get the active file without taking a lock. A follower only ever moves to a
// newer version. The log deletes old records, so the holder of the lease
// appends a checkpoint record, which holds the state as a [Snapshot], well
// before that. From that record, or from a peer's snapshot, a new host can
// resume at the current start of the log.
//
// After the log was restored from a backup, the holder of the lease appends a
// checkpoint from which the publications of the new era are judged
// ([Follower.EraBase]).
//
// Operators' tools use [Publish] to append a rule file to the log and learn its
// version, and [History] to list all publications with their verdicts.
//
// Which publications are accepted is decided by package rule, and who holds the
// lease by package lease. The caller appends lease records and snapshots to the
// log, and sends snapshots between hosts.
package publication
