// Package gossip spreads small items of state among entry hosts.
//
// An [Item] has a key and a stamp. Of two items with one key the one with the
// higher stamp is kept, whatever order they come in, so that hosts agree
// without ordering their messages. New items ride on the next exchanges of
// each host that learns of them, a number of times that grows with the
// logarithm of the fleet; then a comparison of digests, which has the same
// size at any fleet, finds what was missed. A host sends a bounded number of
// bytes to a bounded number of partners, so its cost does not grow with the
// fleet.
package gossip
