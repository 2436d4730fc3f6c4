package engine

import (
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bulrushshed/route"
)

// Generate starts a stream at the first hop of a route.
type Generate struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Prompt    string `json:"prompt"`
	// Delivered are the tokens that the caller has already; the stream
	// goes on behind them.
	Delivered []string    `json:"delivered,omitempty"`
	MaxTokens int         `json:"max_tokens"`
	Priority  int         `json:"priority"`
	Route     route.Route `json:"route"`
}

// EventKind says what an Event carries.
type EventKind string

// The kinds of events on a stream.
const (
	EventToken EventKind = "token"
	EventEnd   EventKind = "end"
	EventError EventKind = "error"
)

// Event is one message of a stream.
type Event struct {
	Kind      EventKind `json:"kind"`
	RequestID string    `json:"request_id"`
	Attempt   int       `json:"attempt"`
	// Position counts the generated tokens from 0.
	Position int    `json:"position"`
	Token    string `json:"token,omitempty"`
	// Endpoint is the hop that failed, for EventError; From is the one that
	// could not reach it, if that is the reason.
	Endpoint string `json:"endpoint,omitempty"`
	From     string `json:"from,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Cancel ends a stream and frees what engines hold for it.
type Cancel struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	// Free drops the KV cache too: the request has ended.
	Free bool `json:"free"`
}

// Status is an engine's report of itself; it lags behind the truth.
type Status struct {
	Holding route.Holding `json:"holding"`
	// Kind is the kind of accelerator.
	Kind     string `json:"kind"`
	Draining bool   `json:"draining"`
	Role     Role   `json:"role"`
	// MaxLayers is the number of layers that the engine can hold.
	MaxLayers int `json:"max_layers"`
	// Changing is set while the engine carries out an order and takes no new
	// streams.
	Changing bool `json:"changing"`
	// Fence is the highest fencing number that the engine has seen.
	Fence int64 `json:"fence"`
}

// HeaderNotRun is set on an answer to work that had no effect.
const HeaderNotRun = "Not-Run"

// Order is declarative: it says what an engine is to hold.
type Order struct {
	Fence   int64       `json:"fence"`
	Model   string      `json:"model"`
	Version string      `json:"version"`
	Adapter string      `json:"adapter,omitempty"`
	Role    Role        `json:"role"`
	Layers  route.Range `json:"layers"`
}

// Role says whether an engine takes new streams.
type Role string

// The roles of engines.
const (
	RoleServe   Role = "serve"
	RoleStandby Role = "standby"
)

// Release is the version that an engine holds behind the order, joined with the
// adapter if there is one.
func (o Order) Release() string {
	if o.Adapter == "" {
		return o.Version
	}
	return o.Version + "+" + o.Adapter
}

// Load returns the order to hold layers of a release.
func Load(model, release string, layers route.Range) Order {
	version, adapter, _ := strings.Cut(release, "+")
	return Order{Model: model, Version: version, Adapter: adapter, Role: RoleServe, Layers: layers}
}

// KVCache is the exported cache of one request on one engine.
type KVCache struct {
	RequestID string      `json:"request_id"`
	Tokens    int         `json:"tokens"`
	Layers    route.Range `json:"layers"`
	Sum       uint64      `json:"sum"`
}

// CacheEventKind says what became of a block.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent tells of one block of the prefix cache; events come late, and
// some are lost, which a jump in Seq shows.
type CacheEvent struct {
	Seq   int64          `json:"seq"`
	Kind  CacheEventKind `json:"kind"`
	Block uint64         `json:"block"`
}

// BlockTokens is the number of prompt tokens in a block.
const BlockTokens = 16

// blockBytes is the length of a block of the prompt in bytes.
const blockBytes = 64

// Blocks returns a name for each whole block of a prompt; each depends on all
// of the prompt up to its end.
func Blocks(prompt string) []uint64 {
	var blocks []uint64
	h := xxhash.New()
	for len(prompt) >= blockBytes {
		// A hash.Hash never fails to write.
		_, _ = h.WriteString(prompt[:blockBytes])
		blocks = append(blocks, h.Sum64())
		prompt = prompt[blockBytes:]
	}
	return blocks
}

// Stream is a running generation. Events carries its events in order and is
// closed at the end; Err then tells why, and is nil after an end event.
type Stream interface {
	Events() <-chan Event
	Err() error
}

// ErrNotRun is in the chain of an error if the engine surely did not start
// the work.
var ErrNotRun = errors.New("engine did not run it")
