// Package gossip disseminates small items of state among hosts, and assigns
// tasks to hosts without coordination.
//
// A [Table] holds one host's items. An [Item] has a key and a stamp. Of two
// items with the same key the one with the higher stamp wins, in whatever order
// they arrive, so hosts converge without ordering their messages. Each host
// that receives a new item includes it in its next [Exchange] messages, a
// number of times proportional to the logarithm of the number of hosts. Items
// missed that way are found by anti-entropy: hosts compare a [Digest] each,
// whose size does not depend on the number of hosts. A host sends a bounded
// number of bytes to a bounded number of partners, so its cost does not grow
// with the fleet.
//
// The assignments are computed from the member list and, for partners, the
// time, so that all hosts with the same list agree: [Partners] chooses whom a
// host exchanges with, [Owner] the host responsible for a key, and [IsReader]
// and [Source] the hosts that read from the platform on behalf of others.
//
// Sending messages, maintaining the member list and interpreting items are left
// to the caller.
package gossip
