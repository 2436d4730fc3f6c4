package forward

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/samber/lo"

	"bulrushshed/ingress"
	"bulrushshed/replica"
	"bulrushshed/route"
)

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Request is a request of a caller.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the path and query exactly as the caller sent it.
	Target string
	// Header has all fields that are forwarded.
	Header []Field
	Body   []byte
	// Key is the caller's key, or "".
	Key string
	// Timeout is how long the caller waits for an answer, or 0 if not given.
	Timeout time.Duration
	// LastEvent is the ID of the last event that the caller has received, or "".
	LastEvent string
	// PromptTokens and MaxTokens give the size of a stream, and HintTokens is the
	// caller's estimate of the answer's length; 0 where not given.
	PromptTokens int
	MaxTokens    int
	HintTokens   int
	// SharedParts identifies the parts of the prompt that other requests may share, in
	// order. The last part of a prompt is the request's own and is not included.
	SharedParts []uint64
	// Prompt is a hash of all parts of the prompt, or 0 if the request has none.
	Prompt uint64
	// Arrived is when the request was read.
	Arrived time.Time
	// Memory bounds what large answers hold; nil for no bound.
	Memory Memory
}

// Memory bounds the memory of the answers that callers have not read yet.
type Memory interface {
	// AwaitResponse waits until the answer to the request may hold n bytes in all, or ctx
	// ends. Of answers to one request that are read at the same time, only the largest counts.
	AwaitResponse(ctx context.Context, n int) error
}

// awaitMemory waits until the answer to the request may hold n bytes.
func (r *Request) awaitMemory(ctx context.Context, n int) error {
	if r.Memory == nil {
		return nil
	}
	return r.Memory.AwaitResponse(ctx, n)
}

// formatParts formats prompt parts for a log line.
func formatParts(parts []uint64) []string {
	return lo.Map(parts, func(part uint64, _ int) string { return strconv.FormatUint(part, 16) })
}

// Response is the response to a caller.
type Response struct {
	Status int
	Header []Field
	Body   io.ReadCloser
	// RetryAfter is the time after which a refused request may be retried, or 0.
	RetryAfter time.Duration
	// Streaming is set if the body must be sent event by event.
	Streaming bool
}

// Send is one request to one replica.
type Send struct {
	Request *Request
	Replica replica.Replica
	// Path has the engines that run the layers, starting with the replica; empty
	// for plain services.
	Path route.Route
	// TimeLeft is the time left until the deadline, or 0 for no limit.
	TimeLeft time.Duration
	// Customer is the owner of the caller's key, or "".
	Customer string
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// LastEvent is the ID of the event after which the replica resumes, or "".
	LastEvent string
}

// UpstreamResponse is the answer of a replica.
type UpstreamResponse struct {
	Status int
	Header []Field
	Body   io.ReadCloser
	// NotRun is set if the replica states that it did not run the request.
	NotRun bool
	// Signed is set if the answer carries the replica's signature. A successful
	// answer without it counts as failed.
	Signed bool
	// FailedEngine is the address of the engine that caused the failure, or "".
	FailedEngine string
}

// Upstream sends requests to replicas.
type Upstream interface {
	// Send returns the answer to a request once its head, which is the status and
	// the header fields, has been received. Cancelling ctx ends the exchange,
	// including the body. The error wraps ErrNotSent if the replica has certainly
	// received nothing.
	Send(ctx context.Context, s Send) (*UpstreamResponse, error)
	// Report requests the report of an engine.
	Report(ctx context.Context, r replica.Replica) (Report, error)
	// Reach opens a connection to a replica and closes it. The replica gets no request.
	Reach(ctx context.Context, r replica.Replica) error
	// Repath orders the first engine of a running stream to reroute it to another
	// path with the same first hop. The error is an *Error of KindNoRoom if an
	// engine has no capacity for the stream.
	Repath(ctx context.Context, r replica.Replica, requestID string, path route.Route) error
}

// Links knows the links of this host to replicas.
type Links interface {
	// DownSince returns since when a replica is reached only through other hosts; ok is
	// false if it is reached directly.
	DownSince(address string) (since time.Time, ok bool)
}

// ErrNotSent is wrapped by an error if no byte of a request was sent.
var ErrNotSent = errors.New("request was not sent")

// Tables provides the configuration in force.
type Tables interface {
	// Table returns the newest configuration, or nil while none is known. fresh is
	// set if its keys can be trusted.
	Table() (t *ingress.Table, fresh bool)
}
