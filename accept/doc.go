// Package accept keeps listeners in service while connections cannot be accepted.
//
// The error of one accept says little about the next one: the process or the machine may
// have no descriptors left, or the peer may have given up before it was accepted. A
// [Listener] closes idle connections, waits and tries again. It fails only if it is closed
// or cannot be used any more.
package accept
