// Package keys makes and reads the key material of hosts and operators: one
// certificate authority, and certificates that it signed. Both sides of every
// connection between hosts show one, so that a stranger is refused.
package keys
