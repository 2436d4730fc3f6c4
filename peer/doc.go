// Package peer implements the protocol between entry hosts, over QUIC.
//
// Each end of a connection presents a certificate issued by the hosts' CA or,
// if there is no CA, one whose pin the other end trusts (see package keys).
// Each request uses one stream: the client writes a [Message] and closes its
// side, the server writes a [Reply] and closes the other. Both are encoded as
// CBOR.
//
// A stream that begins with a mark in place of a message relays a connection: the
// client names a replica, the server connects to it (see package relay), and both
// copy bytes until one of them ends the connection.
//
// A [Node] serves peers and calls them, over one outgoing connection to each
// that is kept open. Relayed connections use another one, and the bytes of both that
// are not read are bounded. What a message does is left to the [Handler], and whom to
// call and whether to retry to the caller.
package peer
