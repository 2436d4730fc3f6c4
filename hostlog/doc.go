// Package hostlog defines what the system keeps on the operators' existing
// platform: each [Record] of an append-only log with offsets, and each [Host]
// of a list that lags behind the actual state. Readers of the log use a
// [Sequencer] to combine a snapshot of their state with the records after it.
//
// Calling the platform, which also stores the models' weights, is left to
// package platformhttp, and the bodies of records to the packages that write
// them.
package hostlog
