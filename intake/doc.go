// Package intake decides what a host takes in from callers that it does not control.
//
// [Connections] bounds the connections of a server and chooses which one to close at the
// bound. [Notices] bounds the log lines about refusals. The package does no I/O and starts
// no goroutines; whoever uses it closes connections and passes the time.
package intake
