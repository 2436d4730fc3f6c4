// Package retrybudget limits the retries of each service over all hosts together, and
// moves what is left of the budget to the hosts that need it.
//
// The rule: in any window, a service gets at most Ratio x R + Extra arrivals beyond the
// first of each request. R is the number of requests in that window, the one before or the
// one half a window before, whichever is largest.
//
// Each host has an account for each service. What it may charge in a window is the sum of
// two parts, each chosen so that the sum over all hosts keeps the rule without any
// exchange:
//
//   - The ratio part is a weighted mean of the host's own requests in the window and in the
//     one before. As all hosts use the same weights, the sum is the weighted mean for all
//     requests, which is at most the largest of the rule. A request counts little while it
//     is new, and more later, so traffic that comes in bursts earns less.
//   - The extra part is a share of Extra, divided by the number of hosts that have been
//     members recently. A process that has just started has a small share, since the one
//     before it may have used its share just before. So has a host that was no member for
//     a while, and one that is none has no share.
//
// A charge is allowed only if the rule is kept in all windows that will include it, also if
// no more requests arrive.
//
// A host whose account is empty borrows from others. What is lent is charged to the lender
// at once, for as long as the borrower may use it. Thus a lost message, or a host that dies
// or freezes, loses tokens and never creates any.
//
// [Accounts] has the decisions, without I/O; its times are those of a clock that continues
// while the process is suspended. A [Budget] asks other hosts.
package retrybudget
