// Package daemon wires one entry host together and runs it.
//
// Every host is alike. Its loops fill shared tables (the directory, the rule
// file in force, the gossip items), and the goroutines that serve requests
// read frozen views of them.
//
// Lock order: no lock is held while another is taken, and none is held for a
// call to another process. The tables' own locks are leaves: admit.Gate,
// balance.Inflight, claim.Table, directory.Directory, gossip.Table,
// publication.Keeper and peer.Node each take theirs last.
package daemon
