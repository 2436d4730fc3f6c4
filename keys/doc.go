// Package keys creates and loads the certificates of hosts and operators, and
// returns TLS configurations that reject untrusted peers. Both ends of a
// connection present a certificate.
//
// With a certificate authority, which [NewCA] creates, [New] signs a
// certificate for each host and operator. [Load] reads a host's files and
// returns the configuration, which accepts every certificate of the same
// authority; [RequireRole] restricts it to some roles. Without an authority,
// [Pinned] creates a self-signed certificate, and peers are identified by its
// digest, the pin.
//
// Storing new certificates and distributing pins are left to the caller.
package keys
