// Package peer is the protocol between entry hosts, over QUIC.
//
// Each end of a connection shows a certificate of the hosts' CA, or, where hosts
// have none, one whose pin the other end trusts. A request is one stream: the
// client writes a [Message] and closes its side, the server writes a [Reply] and
// closes the other. Both are CBOR.
package peer
