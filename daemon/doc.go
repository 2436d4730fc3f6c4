// Package daemon assembles and runs one entry host.
//
// All entry hosts run the same code. Background loops update shared state (the
// host directory, the active rule file and the gossip table), and request
// handlers read immutable snapshots of it.
//
// Lock order: no lock is held while another one is acquired, nor during a call
// to another process. The locks inside admit.Gate, balance.Inflight,
// claim.Table, directory.Directory, gossip.Table, publication.Follower and
// peer.Node are leaf locks: their holders acquire no further lock.
package daemon
