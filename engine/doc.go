// Package engine defines the messages exchanged between entry hosts and model
// engines.
//
// An entry host sends the complete route to the engine of the first hop, and
// each engine sends its activations to the next. Only tokens are returned. Each
// token carries its request, attempt and position, so that tokens of an older
// attempt can be told from those of the current one.
package engine
