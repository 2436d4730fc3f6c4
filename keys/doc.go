// Package keys creates and loads the key material of hosts and operators: one
// certificate authority, and the certificates that it signed. Both ends of
// every connection between hosts present one, so that untrusted peers are
// refused.
package keys
