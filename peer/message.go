package peer

import (
	"bulrushshed/delivery"
	"bulrushshed/directory"
	"bulrushshed/feed"
	"bulrushshed/gossip"
	"bulrushshed/hostlog"
	"bulrushshed/outcome"
	"bulrushshed/publication"
	"bulrushshed/rule"
)

// Kind says what a Message asks for.
type Kind string

// The kinds of messages.
const (
	KindForward  Kind = "forward"
	KindExchange Kind = "exchange"
	KindJoin     Kind = "join"
	KindRules    Kind = "rules"
	KindDemand   Kind = "demand"
	KindFeed     Kind = "feed"
)

// Message is one request; only the field of its kind is set.
type Message struct {
	Kind     Kind             `cbor:"kind"`
	Forward  *Forward         `cbor:"forward,omitempty"`
	Exchange *gossip.Exchange `cbor:"exchange,omitempty"`
	Demand   *Demand          `cbor:"demand,omitempty"`
	Feed     *feed.Request    `cbor:"feed,omitempty"`
	// Have is the version that a host asking for newer rules has.
	Have rule.Version `cbor:"have,omitempty"`
}

// Demand is how many requests a host had lately of each limited customer, and of
// each pool, that the other host is responsible for.
type Demand struct {
	From  string             `cbor:"from"`
	Rates map[string]float64 `cbor:"rates"`
}

// Rules is the file in force on the host that answers. If the asking host has
// the version before, Snapshot is without the text, and Delta gives it.
type Rules struct {
	Snapshot publication.Snapshot `cbor:"snapshot"`
	Delta    *rule.Delta          `cbor:"delta,omitempty"`
}

// Forward passes a call on to the home of its key.
type Forward struct {
	Request delivery.Request `cbor:"request"`
	// LeftMS is what is left until the call's deadline; clocks of two hosts
	// are not compared.
	LeftMS int64 `cbor:"left_ms"`
}

// Known is what a fresh host learns of another.
type Known struct {
	Snapshot publication.Snapshot `cbor:"snapshot"`
	// Hosts is the platform's list as the other host last read it, and
	// Leaves what it knows of leaving hosts.
	Hosts  []hostlog.Host      `cbor:"hosts"`
	Leaves []directory.Leaving `cbor:"leaves"`
}

// Reply answers a message; only the field of the message's kind is set.
type Reply struct {
	Answer *outcome.Answer `cbor:"answer,omitempty"`
	Error  *outcome.Error  `cbor:"error,omitempty"`
	Known  *Known          `cbor:"known,omitempty"`
	Rules  *Rules          `cbor:"rules,omitempty"`
	// Shares are parts of customers' limits and of pools, from 0 to 1.
	Shares   map[string]float64 `cbor:"shares,omitempty"`
	Exchange *gossip.Exchange   `cbor:"exchange,omitempty"`
	Feed     *feed.Response     `cbor:"feed,omitempty"`
}
