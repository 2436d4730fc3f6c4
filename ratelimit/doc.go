// Package ratelimit keeps the requests of all hosts to a replica within the rate that the
// replica names.
//
// A replica that is overloaded names in its answers the rate of requests that it takes
// from all hosts together. [Limits] has what this host has read of these limits itself or
// learned from others. A limit applies to one incarnation of a replica, until an answer
// does not name it, or until no answer has named it for a while.
//
// One host is responsible for each limited replica, chosen by rendezvous hashing among the
// members. It has an [Allocator], which grants the requests one at a time. A [Limiter] asks
// it for a [Permit] before each request to a limited replica, so that the hosts together
// use the whole limit, however few requests it leaves for each. If that host cannot be
// reached, another one grants 0.4 of the limit, so that the two together never grant more
// than one and a half times of it.
//
// A replica that refuses a request may also name a wait: it wants no more requests from this
// host until the wait has ended. Waits are kept per host and are not shared, except with a
// host that relays the connection, which the replica takes for the sender.
//
// No clocks are compared and nothing is stored: a host that becomes responsible starts
// with an idle replica's allowance for one request.
package ratelimit
