package peer

import (
	"bulrushshed/delivery"
	"bulrushshed/gossip"
	"bulrushshed/outcome"
)

// Kind says what a Message asks for.
type Kind string

// The kinds of messages.
const (
	KindForward  Kind = "forward"
	KindExchange Kind = "exchange"
)

// Message is one request; only the field of its kind is set.
type Message struct {
	Kind     Kind             `cbor:"kind"`
	Forward  *Forward         `cbor:"forward,omitempty"`
	Exchange *gossip.Exchange `cbor:"exchange,omitempty"`
}

// Forward passes a call on to the home of its key.
type Forward struct {
	Request delivery.Request `cbor:"request"`
	// LeftMS is what is left until the call's deadline; clocks of two hosts
	// are not compared.
	LeftMS int64 `cbor:"left_ms"`
}

// Reply answers a message; only the field of the message's kind is set.
type Reply struct {
	Answer   *outcome.Answer  `cbor:"answer,omitempty"`
	Error    *outcome.Error   `cbor:"error,omitempty"`
	Exchange *gossip.Exchange `cbor:"exchange,omitempty"`
}
