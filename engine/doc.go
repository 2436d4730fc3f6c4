// Package engine holds the messages between entry hosts and model engines.
//
// An entry host sends the whole route to the engine of the first hop, which
// passes activations on to the next. Only tokens come back, each with its
// request, attempt and position, so that those of an older attempt are told
// apart from the live one's.
package engine
