// Package ingress matches and authorizes requests at an entry host: which rule
// of the configuration applies, which customer owns the key, and whether the
// known configuration is recent enough to accept that key.
//
// A [Table] is compiled from one version of the [Config] and is immutable; a
// host replaces the whole table. A [Freshness] tracks when the configuration
// was last confirmed to be current.
package ingress
