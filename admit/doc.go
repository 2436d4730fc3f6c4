// Package admit decides, before any work is done, whether a request may start.
//
// Each customer with a limit in the rules has a token bucket; the host as a
// whole has a number of places. A request that finds no token or no place is
// refused at once, as not run.
package admit
