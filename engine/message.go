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
	// Delivered holds the tokens that the caller has already received; the
	// stream resumes after them.
	Delivered []string    `json:"delivered,omitempty"`
	MaxTokens int         `json:"max_tokens"`
	Priority  int         `json:"priority"`
	Route     route.Route `json:"route"`
}

// EventKind is the type of an Event.
type EventKind string

// The kinds of events in a stream.
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
	// Position is the index of the token in the completion, from 0.
	Position int    `json:"position"`
	Token    string `json:"token,omitempty"`
	// Endpoint is the endpoint that failed, for EventError. From is the endpoint
	// that could not reach it, if that is how it failed.
	Endpoint string `json:"endpoint,omitempty"`
	From     string `json:"from,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Cancel ends a stream and releases the resources that engines hold for it.
type Cancel struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	// Free also releases the KV cache, because the request has ended.
	Free bool `json:"free"`
}

// Status is an engine's report of its own state, which may be out of date.
type Status struct {
	Holding route.Holding `json:"holding"`
	// Kind is the type of accelerator.
	Kind     string `json:"kind"`
	Draining bool   `json:"draining"`
	Role     Role   `json:"role"`
	// MaxLayers is the number of layers that fit on the engine.
	MaxLayers int `json:"max_layers"`
	// Changing is set while the engine carries out an order; it rejects new
	// streams meanwhile.
	Changing bool `json:"changing"`
	// Fence is the highest fencing token of the orders that the engine has
	// received.
	Fence int64 `json:"fence"`
}

// The headers of responses.
const (
	// HeaderNotRun is set if the request had no effect.
	HeaderNotRun = "Not-Run"
	// HeaderLimit is set by an overloaded engine: the streams a second that it takes from
	// all hosts together as the first of their routes. Other requests don't count.
	HeaderLimit = "Request-Limit"
)

// Order is the desired state of an engine: the role, the release and the layers
// that it should have. A release is a version of a model, with or without an
// adapter.
type Order struct {
	// Fence is the fencing token of the sender. An engine may reject an order with
	// a lower one than it has already received.
	Fence   int64       `json:"fence"`
	Model   string      `json:"model"`
	Version string      `json:"version"`
	Adapter string      `json:"adapter,omitempty"`
	Role    Role        `json:"role"`
	Layers  route.Range `json:"layers"`
}

// Role determines whether an engine accepts new streams.
type Role string

// The roles of an engine.
const (
	RoleServe   Role = "serve"
	RoleStandby Role = "standby"
)

// ReleaseName returns the name of the release that the engine holds after it has
// carried out the order: the version, with "+" and the adapter appended if there is
// one.
func (o Order) ReleaseName() string {
	if o.Adapter == "" {
		return o.Version
	}
	return o.Version + "+" + o.Adapter
}

// ServeOrder returns the order to serve layers of a release.
func ServeOrder(model, release string, layers route.Range) Order {
	version, adapter, _ := strings.Cut(release, "+")
	return Order{Model: model, Version: version, Adapter: adapter, Role: RoleServe, Layers: layers}
}

// KVCache is the exported KV cache of one request on one engine.
type KVCache struct {
	RequestID string `json:"request_id"`
	// Tokens is the number of tokens that the cache covers.
	Tokens   int         `json:"tokens"`
	Layers   route.Range `json:"layers"`
	Checksum uint64      `json:"sum"`
}

// CacheEventKind is the type of a CacheEvent.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent reports a change to one block of the prefix cache. Events arrive
// late, and some are lost, which shows as a gap in Seq.
type CacheEvent struct {
	Seq   int64          `json:"seq"`
	Kind  CacheEventKind `json:"kind"`
	Block uint64         `json:"block"`
}

// BlockTokens is the size of a block in prompt tokens.
const BlockTokens = 16

// blockBytes is the size of a block in bytes of the prompt.
const blockBytes = 64

// BlockHashes returns a hash for each full block of a prompt. Each hash covers
// the prompt from its start to the end of the block.
func BlockHashes(prompt string) []uint64 {
	var blocks []uint64
	h := xxhash.New()
	for len(prompt) >= blockBytes {
		// Writing to a hash.Hash never fails.
		_, _ = h.WriteString(prompt[:blockBytes])
		blocks = append(blocks, h.Sum64())
		prompt = prompt[blockBytes:]
	}
	return blocks
}

// Stream is a running generation. Events carries its events in order and is
// closed when the stream ends; Err then returns the reason, which is nil if the
// last event was an EventEnd.
type Stream interface {
	Events() <-chan Event
	Err() error
}

// ErrNotRun is in the chain of an error if the engine certainly did not start
// the work.
var ErrNotRun = errors.New("engine did not run the request")
