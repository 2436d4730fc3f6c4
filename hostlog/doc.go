// Package hostlog defines the records and lists that the system keeps on the
// operators' existing platform: an append-only log with offsets, a host list
// that lags behind, and the weight store. It also holds a Sequencer, which
// combines a snapshot with the records of the log after it.
package hostlog
