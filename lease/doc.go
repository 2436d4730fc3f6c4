// Package lease decides which one host controls the engines.
//
// The lease is a fold of the platform's log. A claim names the last record of
// the lease that its writer saw, and is accepted if that is still the last
// one; so of two claims the first in the log wins on every host. The offset of
// an accepted claim is the grant, and serves as the fencing number of orders.
//
// Time is not in the log. A holder counts its term from before the append of
// its last accepted record, by its own clock; a challenger counts from when it
// read that record, by its own, and waits a margin longer. The challenger's
// count therefore begins later and lasts longer, so that the holder has stopped
// before anyone else can claim, as long as their clocks run at the same pace to
// within the margin.
package lease
