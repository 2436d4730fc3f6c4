// Package outcome defines the result of a request: it was answered, it certainly
// did not run, or it is unknown whether it ran. A request ends with an [Answer] or
// with an [Error], whose [Kind] tells the result and whose [Cause] the reason.
//
// [NotRun] is a guarantee. It is given only if no byte of the request can have
// reached an endpoint, or if the endpoint itself reported that it did not run the
// request. In any doubt the outcome is [Unknown].
package outcome
