package peer

import (
	"bulrushshed/delivery"
	"bulrushshed/directory"
	"bulrushshed/feed"
	"bulrushshed/gossip"
	"bulrushshed/hostlog"
	"bulrushshed/outcome"
	"bulrushshed/publication"
	"bulrushshed/ratelimit"
	"bulrushshed/retrybudget"
	"bulrushshed/rule"
)

// Kind is the type of a Message.
type Kind string

// The kinds of messages.
const (
	// KindForward passes a request on to the home host of its key.
	KindForward Kind = "forward"
	// KindExchange carries a gossip exchange, in both directions.
	KindExchange Kind = "exchange"
	// KindJoin asks for the state that a new host starts from.
	KindJoin Kind = "join"
	// KindRules asks for the active rule file.
	KindRules Kind = "rules"
	// KindDemand reports request rates, and asks for shares of the rate limits
	// and of the pools.
	KindDemand Kind = "demand"
	// KindFeed asks for the changes of a topic.
	KindFeed Kind = "feed"
	// KindConfig asks for the newest configuration that the host has applied.
	KindConfig Kind = "config"
	// KindPermit asks for a permit for one request to a replica that names a limit.
	KindPermit Kind = "permit"
	// KindBorrow asks for tokens of a retry budget.
	KindBorrow Kind = "borrow"
	// KindUsage reports what the sender uses of engines, and what it found out about them.
	KindUsage Kind = "usage"
)

// Message is one request. Only the field for its kind is set; KindJoin has none, KindRules
// uses Have, and KindConfig uses MaxBytes.
type Message struct {
	Kind     Kind                  `cbor:"kind"`
	Forward  *Forward              `cbor:"forward,omitempty"`
	Exchange *gossip.Exchange      `cbor:"exchange,omitempty"`
	Demand   *Demand               `cbor:"demand,omitempty"`
	Feed     *feed.Request         `cbor:"feed,omitempty"`
	Permit   *ratelimit.Question   `cbor:"permit,omitempty"`
	Borrow   *retrybudget.Question `cbor:"borrow,omitempty"`
	// Usage is an encoded report of package usage.
	Usage []byte `cbor:"usage,omitempty"`
	// Have is the version that a host requesting newer rules already has.
	Have rule.Version `cbor:"have,omitempty"`
	// MaxBytes is the size of the largest configuration that the sender can hold, for
	// KindConfig; 0 if it does not say.
	MaxBytes int `cbor:"max_bytes,omitempty"`
}

// Demand is the recent request rate of one host, for each rate-limited customer
// and each pool that the receiving host is responsible for. A pool is the slots
// for the requests of one model, or for the calls of all plain services (see
// package admit).
type Demand struct {
	From  string             `cbor:"from"`
	Rates map[string]float64 `cbor:"rates"`
}

// Rules is the active file of the answering host. If the requesting host has
// the previous version, Snapshot omits the text, and Delta turns the text of
// that version into it.
type Rules struct {
	Snapshot publication.Snapshot `cbor:"snapshot"`
	Delta    *rule.Delta          `cbor:"delta,omitempty"`
}

// Forward passes a request on to the home host of its key.
type Forward struct {
	Request delivery.Request `cbor:"request"`
	// RemainingMS is the time left until the request's deadline. It is relative
	// because the clocks of two hosts are not comparable.
	RemainingMS int64 `cbor:"left_ms"`
}

// JoinReply is the state that a new host receives from another one.
type JoinReply struct {
	Snapshot publication.Snapshot `cbor:"snapshot"`
	// Hosts is the platform's list as last read by the answering host, and
	// Leaves the leave notices that it knows.
	Hosts  []hostlog.Host          `cbor:"hosts"`
	Leaves []directory.LeaveNotice `cbor:"leaves"`
}

// Reply answers a message. Only the field for the message's kind is set.
type Reply struct {
	Answer *outcome.Answer `cbor:"answer,omitempty"`
	Error  *outcome.Error  `cbor:"error,omitempty"`
	Join   *JoinReply      `cbor:"known,omitempty"`
	Rules  *Rules          `cbor:"rules,omitempty"`
	// Shares are fractions, from 0 to 1, of customers' limits and of pools.
	Shares   map[string]float64 `cbor:"shares,omitempty"`
	Exchange *gossip.Exchange   `cbor:"exchange,omitempty"`
	Feed     *feed.Response     `cbor:"feed,omitempty"`
	Permit   *ratelimit.Permit  `cbor:"permit,omitempty"`
	Loan     *retrybudget.Loan  `cbor:"loan,omitempty"`
	// Config is the newest configuration that the host has applied, as the operator wrote
	// it.
	Config []byte `cbor:"config,omitempty"`
	// Usage is set in the reply to KindUsage. Hosts of builds without it do not set it.
	Usage bool `cbor:"usage,omitempty"`
}
