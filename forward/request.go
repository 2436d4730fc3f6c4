package forward

import (
	"context"
	"errors"
	"io"
	"time"

	"bulrushshed/ingress"
	"bulrushshed/replica"
	"bulrushshed/route"
)

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Request is what a caller asks.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the path with its query, byte by byte as the caller sent it.
	Target string
	// Header holds all fields that are passed on.
	Header []Field
	Body   []byte
	// Key is the caller's key, or "".
	Key string
	// Patience is how long the caller waits, or 0 if it does not say.
	Patience time.Duration
	// LastEvent is the last event that the caller has, or "".
	LastEvent string
	// PromptTokens and MaxTokens size a stream, and HintTokens is the caller's
	// estimate of the tokens to come; 0 where it does not say.
	PromptTokens int
	MaxTokens    int
	HintTokens   int
	// Arrived is when the request was read.
	Arrived time.Time
}

// Response is what the caller gets.
type Response struct {
	Status int
	Header []Field
	Body   io.ReadCloser
	// RetryAfter is when a refused request may come back, or 0.
	RetryAfter time.Duration
	// Streaming bodies are sent event by event.
	Streaming bool
}

// Send is one request to one replica.
type Send struct {
	Request *Request
	Replica replica.Replica
	// Path names the engines that run the layers, the replica first; empty
	// for plain services.
	Path route.Route
	// Left is how long the replica may work on it, or 0 for no bound.
	Left time.Duration
	// Customer is the holder of the caller's key, or "".
	Customer string
	// Priority is the rank of the request; 0 is first.
	Priority int
	// LastEvent is the event behind which the replica goes on, or "".
	LastEvent string
}

// UpstreamResponse is what a replica says.
type UpstreamResponse struct {
	Status int
	Header []Field
	Body   io.ReadCloser
	// NotRun is set if the replica says that it did not run the request.
	NotRun bool
	// Sealed is set if the answer bears the replica's signature.
	Sealed bool
	// Fault is the address of the engine that failed the request, or "".
	Fault string
}

// Upstream sends requests to replicas.
type Upstream interface {
	// Send returns the head of the answer to this very request; ctx ends the
	// exchange, the body included. The error has ErrNotSent in its chain if
	// the replica surely got nothing.
	Send(ctx context.Context, s Send) (*UpstreamResponse, error)
	// Report asks an engine for its report.
	Report(ctx context.Context, r replica.Replica) (Report, error)
	// Repath moves a running stream to another path with the same first hop.
	// An engine that can't take it is an *Error of KindNoRoom.
	Repath(ctx context.Context, r replica.Replica, requestID string, path route.Route) error
}

// ErrNotSent is in the chain of an error if no byte of a request was sent.
var ErrNotSent = errors.New("request was not sent")

// Tables gives the configuration in force.
type Tables interface {
	// Table returns the newest one, or nil while none is known, and whether
	// its keys can be trusted.
	Table() (t *ingress.Table, fresh bool)
}
