// Package relay opens connections to replicas through other hosts where this host has
// lost its own links to them.
//
// A [Dialer] connects directly, and asks another host to connect where that fails or takes
// long. It keeps which links are down, so that the next connection is relayed at once, and
// tries them again in the background. Whoever uses the connection decides everything else:
// what is sent, how often and until when.
//
// A host connects for others only directly, so a connection has one relay at most. A
// connection that could not be established has carried no byte.
package relay
