// Package feed passes what a few hosts read of the store on to the others, so
// that the number of calls to the store does not grow with that of hosts.
//
// A [Log] holds what this host has read of some topics: the newest value of each
// key, the last changes, and until when the host knows all news. Another host asks
// with the offset that it has come to, and the answer waits for news, for a newer
// proof, or for a time. Answers also carry the members of the group of hosts, once
// they have changed.
//
// News that is large is packed, once for all askers; very large news is only
// announced, and each host fetches it from the store, so that the link of the host
// that reads does not become narrow.
//
// Two limits keep the others within the bounds that a reader of its own keeps. A
// host only answers for topics that it reads in the store itself, so that delays
// do not add up along a chain. And it tells when it last reached the store; an
// answer that is older than [ReachTerm] is of no use, and the asker reads the store
// itself. Times are by the clock of the host that tells them; [Offset] brings them
// to the asker's.
package feed
