// Package feed relays changes that a few entry hosts read from the platform's
// store to all others, so that the number of store calls does not grow with the
// number of hosts. The store keeps topics of keyed records, such as the
// configuration and the list of replicas, and the group of entry hosts.
//
// A [Log] holds what this host has read of some topics: the newest value of
// each key, the most recent changes, and the time up to which the host knows
// all changes. A follower is a host that receives a topic from another host
// instead of the store. It sends its offset and long-polls: the [Response] is
// sent on a change, when the topic is current as of a later time, or on
// timeout. It also carries the members of the group if the follower knows an
// older generation of them.
//
// A place in a topic is a [Position]: an era of the store and an offset in it. A
// host that has seen a new era offers nothing that it has read in an older one,
// and a follower of an older era gets a snapshot.
//
// Large pages are compressed, once for all followers. Very large ones are only
// announced, and each host fetches them from the store, so that the link of the
// reading host does not become a bottleneck.
//
// Two rules keep followers within the staleness bounds of a host that reads the
// store itself. A host only answers for topics that it reads directly from the
// store, so that delays do not add up along a chain. It also reports when it
// last reached the store; a response whose report is older than [StoreReachTTL]
// is unusable, and the follower reads the store itself. Times are by the clock
// of the host that sends them; [ClockOffset] converts them to the receiver's
// clock.
//
// The package reads neither the store nor the network. Its caller does both,
// and chooses the hosts that read a topic (see package gossip).
package feed
