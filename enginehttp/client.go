package enginehttp

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"bulrushshed/engine"
	"bulrushshed/jsonhttp"
	"bulrushshed/ratelimit"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindNotRun means that the engine certainly did not start the work.
	KindNotRun Kind = "not_run"
	// KindBroken means that the request failed, or its stream ended before the
	// end event, after the engine may have started the work.
	KindBroken Kind = "broken"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Endpoint is the name of the route's first hop, for a stream, or the
	// address that the request was sent to.
	Endpoint string
	Cause    error
}

var _ error = (*Error)(nil)

// Error formats the operation, the kind, the endpoint and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("enginehttp %s: %s at %s: %v", e.Op, e.Kind, e.Endpoint, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is makes errors.Is match engine.ErrNotRun for an error of KindNotRun.
func (e *Error) Is(target error) bool { return target == engine.ErrNotRun && e.Kind == KindNotRun }

// IsNotRun reports whether err means that the engine certainly did not run the
// request.
func IsNotRun(err error) bool { return errors.Is(err, engine.ErrNotRun) }

// LimitRecorder records the limits that engines name.
type LimitRecorder interface {
	// Record records what an answer of an engine's incarnation says of its limit.
	Record(incarnation string, n ratelimit.Naming, sentAt, now time.Time)
}

// Client sends requests to engines; it is safe for concurrent use.
type Client struct {
	http        *jsonhttp.Client
	callTimeout time.Duration
	limits      LimitRecorder
}

// Dial opens a connection to an address. No byte may have been sent if it fails.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// NewClient returns a client; callTimeout limits each request that is not a stream. The
// client passes on the limits that the answers name, and opens its connections with dial.
func NewClient(callTimeout time.Duration, limits LimitRecorder, dial Dial) *Client {
	opts := jsonhttp.DefaultOptions()
	opts.Dial = dial
	opts.MaxResponseBytes = maxCallBytes
	return &Client{http: jsonhttp.NewClient(opts), callTimeout: callTimeout, limits: limits}
}

// maxCallBytes bounds the body of a response that is not a stream.
const maxCallBytes = 256 << 10

// eventBuffer is the number of events buffered for a slow caller before the
// client stops reading from the engine.
const eventBuffer = 16

// maxEventBytes is the maximum length of a line of a stream. Each event is one line.
const maxEventBytes = 64 << 10

// stream is a generation whose events one goroutine reads from a connection.
type stream struct {
	events chan engine.Event
	// err is set before events is closed.
	err error
}

var _ engine.Stream = (*stream)(nil)

// Events returns the channel of events, which is closed when the stream ends.
func (s *stream) Events() <-chan engine.Event { return s.events }

// Err returns the reason why the stream ended. It must not be called before
// Events is closed.
func (s *stream) Err() error { return s.err }

// Generate starts a stream at the first hop of the route and returns without
// waiting for it; after a failure, Err of the stream returns an *Error. The stream
// ends when ctx is done. headerTimeout limits the time until the headers of the
// response have arrived.
func (c *Client) Generate(ctx context.Context, g engine.Generate, headerTimeout time.Duration) engine.Stream {
	s := &stream{events: make(chan engine.Event, eventBuffer)}
	go func() {
		defer close(s.events)
		s.err = c.generate(ctx, g, headerTimeout, s.events)
	}()
	return s
}

func (c *Client) generate(
	ctx context.Context, g engine.Generate, headerTimeout time.Duration, events chan<- engine.Event,
) error {
	first := g.Route.Hops[0]
	body, err := json.Marshal(g)
	if err != nil {
		return &Error{Op: "generate", Kind: KindNotRun, Endpoint: first.Endpoint, Cause: err}
	}
	sentAt := time.Now()
	resp, err := c.http.Open(ctx, jsonhttp.Request{
		Method: http.MethodPost, URL: "http://" + first.Address + "/v1/generate",
		Headers: map[string]string{"Content-Type": "application/json"}, Body: body, Timeout: headerTimeout,
	})
	if err != nil {
		return &Error{Op: "generate", Kind: errorKind(err), Endpoint: first.Endpoint, Cause: err}
	}
	defer resp.Close()
	c.limits.Record(first.EngineIncarnation(), ratelimit.ParseNaming(resp.Header(engine.HeaderLimit)), sentAt, time.Now())
	if resp.Status != http.StatusOK {
		kind := KindBroken
		if resp.Status >= http.StatusBadRequest && resp.Header(engine.HeaderNotRun) != "" {
			kind = KindNotRun
		}
		cause := fmt.Errorf("got status %d, want %d", resp.Status, http.StatusOK)
		return &Error{Op: "generate", Kind: kind, Endpoint: first.Endpoint, Cause: cause}
	}
	return copyEvents(ctx, resp, events, first.Endpoint)
}

func errorKind(err error) Kind {
	if jsonhttp.KindOf(err) == jsonhttp.KindNotSent {
		return KindNotRun
	}
	return KindBroken
}

var errNoEndEvent = errors.New("stream closed before the end event")

// copyEvents reads events until the end event or a failure.
func copyEvents(ctx context.Context, resp *jsonhttp.Stream, events chan<- engine.Event, endpoint string) error {
	lines := bufio.NewScanner(resp)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var event engine.Event
		if err := json.Unmarshal([]byte(text), &event); err != nil {
			return &Error{Op: "read", Kind: KindBroken, Endpoint: endpoint, Cause: err}
		}
		select {
		case events <- event:
		case <-ctx.Done():
			return &Error{Op: "read", Kind: KindBroken, Endpoint: endpoint, Cause: ctx.Err()}
		}
		if event.Kind == engine.EventEnd {
			return nil
		}
	}
	cause := lines.Err()
	if cause == nil {
		cause = errNoEndEvent
	}
	return &Error{Op: "read", Kind: KindBroken, Endpoint: endpoint, Cause: cause}
}

// Cancel ends a stream on one engine.
func (c *Client) Cancel(address string, m engine.Cancel) error {
	return c.call("cancel", http.MethodPost, address, "/v1/cancel", m, nil)
}

// Status returns the engine's report of its own state.
func (c *Client) Status(address string) (engine.Status, error) {
	var s engine.Status
	err := c.call("status", http.MethodGet, address, "/v1/status", nil, &s)
	return s, err
}

// Probe checks that an engine responds, with any status, before ctx is done or the
// call timeout passes.
func (c *Client) Probe(ctx context.Context, address string) error {
	r := jsonhttp.Request{Method: http.MethodGet, URL: "http://" + address + "/v1/status", Timeout: c.callTimeout}
	if _, err := c.http.Exchange(ctx, r); err != nil {
		return &Error{Op: "probe", Kind: errorKind(err), Endpoint: address, Cause: err}
	}
	return nil
}

// Order sends an order. It returns an error of KindNotRun if the engine rejected
// the order.
func (c *Client) Order(address string, o engine.Order) error {
	return c.call("order", http.MethodPost, address, "/v1/orders", o, nil)
}

func (c *Client) call(op, method, address, path string, in, out any) error {
	r := jsonhttp.Request{Method: method, URL: "http://" + address + path, Timeout: c.callTimeout}
	err := c.http.Call(r, in, out)
	if err == nil {
		return nil
	}
	kind := errorKind(err)
	var e *jsonhttp.Error
	if errors.As(err, &e) && e.Kind == jsonhttp.KindStatus && e.Status == http.StatusConflict {
		kind = KindNotRun
	}
	return &Error{Op: op, Kind: kind, Endpoint: address, Cause: err}
}
