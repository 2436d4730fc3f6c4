// Package daemon assembles and runs one entry host: a process that accepts
// requests from callers and delivers them to model engines and service replicas.
//
// [Wire] builds a [Daemon] and its parts from the settings, and [Run] serves
// until it is told to stop and then shuts down gracefully. All entry hosts run
// the same code. Background loops update shared state (the host directory, the
// active rule file and the gossip table), and request handlers read immutable
// snapshots of it. One of the loops sends orders to engines, such as to load
// layers, while the host holds the lease.
//
// This package only connects the parts. Requests are handled by packages
// caller, completion and delivery, the log is followed by package publication,
// messages between entry hosts are sent by package peer, and operators are
// served by package operator.
//
// Lock order: no lock is held while another one is acquired, nor during a call
// to another process. The locks inside admit.Gate, balance.Inflight,
// claim.Table, directory.Directory, gossip.Table, publication.Follower and
// peer.Node are leaf locks: their holders acquire no further lock.
package daemon
