// Package gossip disseminates small items of state among entry hosts.
//
// An [Item] has a key and a stamp. Of two items with the same key the one with
// the higher stamp wins, in whatever order they arrive, so hosts converge
// without ordering their messages. Each host that receives a new item includes
// it in its next exchanges, a number of times proportional to the logarithm of
// the number of hosts. Items missed that way are found by anti-entropy: hosts
// compare digests, whose size does not depend on the number of hosts. A host
// sends a bounded number of bytes to a bounded number of partners, so its cost
// does not grow with the fleet.
package gossip
