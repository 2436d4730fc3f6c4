// Package ingress matches and authorizes requests at an entry host, which accepts
// the requests of callers and forwards them to replicas. It determines which rule
// of the configuration applies, which customer owns the API key, and whether
// the known configuration is recent enough to accept that key.
//
// A [Table] is compiled from one version of the [Config] and is immutable; a
// host replaces the whole table. A [Freshness] tracks when the configuration
// was last confirmed to be current. Reading the configuration from the store and
// forwarding the requests are left to other packages.
package ingress
