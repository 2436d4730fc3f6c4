// Package hosted runs an entry host on the users' platform, which accepts the
// requests of callers and forwards them to replicas. It wires the platform
// adapter to the packages that implement routing and placement, and keeps their
// data up to date. [Wire] builds a [Host] from its settings, and [Run] serves
// until it is told to stop; signals and the settings file are left to the
// program.
//
// Background loops follow the configuration and the replica list, either in the
// store or through a host of the same failure domain that reads the store for
// others (package feed). That host is a reader; it is the source of its
// followers. The loops also keep the host in the group of entry hosts and, on
// the one host that owns the group's first partition, assign layers to engines.
//
// The store may be restored from a backup; it then begins a new era, and
// offsets, the group's generation and what was written since fall back. An
// eraClock tracks that. What this host has applied stays in force.
//
// Connections to replicas are opened by a dialer that relays them through other
// hosts where this host's own links are down (package relay).
//
// Requests run on the HTTP server's worker goroutines and use shared state. The
// configuration and the view of the replicas are replaced atomically. All other
// state has its own lock, which is held neither during a network call nor together
// with another lock, except that group holds its own while it passes the members to
// retrybudget.Accounts, whose holders acquire no further lock.
package hosted
