// Package hosted runs an entry host on the users' platform: it wires the
// adapter to the packages that decide, and keeps what they know up to date.
//
// Loops follow the configuration and the list of replicas, in the store or at
// the host of the same failure domain that reads it for others (package feed),
// keep the host in the group of entry hosts, and, on the one host that holds the
// group's first partition, give engines their layers. Requests run on the HTTP
// server's workers over shared tables: the configuration and the view of the
// replicas are swapped whole, everything else has a lock of its own that is
// held for no call and with no other lock.
package hosted
