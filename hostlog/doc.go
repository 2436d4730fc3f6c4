// Package hostlog holds the records and lists of the platform that the
// operators already run: an append-only log with offsets, a lagging list of
// hosts, and the weight store.
package hostlog
