// Package ingress decides what becomes of a request that arrives at an entry
// host: which rule of the configuration serves it, whose key it carries, and
// whether the host knows recent enough news to trust that key.
//
// A [Table] is compiled from one version of the [Config] and frozen; the host
// swaps whole tables. A [Freshness] holds the proof of how recent the table is.
package ingress
