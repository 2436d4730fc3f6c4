// Package directory is what a host knows of all others: which are live, which
// leave, what the engines hold and which services run where.
//
// News comes from the platform's lagging list, from the hosts' own answers and
// from other entry hosts, in any order and more than once. Each piece of news
// carries the incarnation that it is about. News of an older incarnation is
// ignored, and an incarnation that leaves never becomes live again; so the
// earliest sign that a host leaves wins, and does not mask its return.
//
// A [Directory] is written under a lock; readers take the frozen [View].
package directory
