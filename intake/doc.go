// Package intake decides what a host takes in from callers that it does not control.
//
// [Notices] bounds the log lines about refusals. The package does no I/O and starts no
// goroutines; whoever uses it passes the time.
package intake
