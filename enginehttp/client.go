package enginehttp

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"bulrushshed/engine"
	"bulrushshed/jsonhttp"
)

// Kind says what sort of failure an Error is.
type Kind string

// The kinds of Error.
const (
	// KindNotRun means that the engine surely did not start the work.
	KindNotRun Kind = "not_run"
	// KindBroken means that the stream ended without its end event.
	KindBroken Kind = "broken"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Endpoint is the one that failed, where that is known.
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

// Is makes errors.Is find engine.ErrNotRun by the kind.
func (e *Error) Is(target error) bool { return target == engine.ErrNotRun && e.Kind == KindNotRun }

// IsNotRun reports whether an error says that the engine surely did not run
// what was asked.
func IsNotRun(err error) bool { return errors.Is(err, engine.ErrNotRun) }

// Client calls engines; it is safe for concurrent use.
type Client struct {
	http        *jsonhttp.Client
	callTimeout time.Duration
}

// NewClient returns a client; callTimeout bounds each short call.
func NewClient(callTimeout time.Duration) *Client {
	return &Client{http: jsonhttp.NewClient(jsonhttp.DefaultOptions()), callTimeout: callTimeout}
}

// eventBuffer is how many events wait for a slow caller before the engine is
// held up.
const eventBuffer = 16

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 64 << 10

// stream is a generation that one goroutine copies from a connection.
type stream struct {
	events chan engine.Event
	// err is set before events is closed.
	err error
}

var _ engine.Stream = (*stream)(nil)

// Events returns the channel of events; it is closed at the end.
func (s *stream) Events() <-chan engine.Event { return s.events }

// Err returns why the stream ended; call it only once Events is closed.
func (s *stream) Err() error { return s.err }

// Generate starts a stream at the first hop, and returns at once; what goes
// wrong is the stream's error, an *Error. Ending ctx ends the stream, and
// headTimeout bounds the wait for the first byte of the answer.
func (c *Client) Generate(ctx context.Context, g engine.Generate, headTimeout time.Duration) engine.Stream {
	s := &stream{events: make(chan engine.Event, eventBuffer)}
	go func() {
		defer close(s.events)
		s.err = c.generate(ctx, g, headTimeout, s.events)
	}()
	return s
}

func (c *Client) generate(
	ctx context.Context, g engine.Generate, headTimeout time.Duration, events chan<- engine.Event,
) error {
	first := g.Route.Hops[0]
	body, err := json.Marshal(g)
	if err != nil {
		return &Error{Op: "generate", Kind: KindNotRun, Endpoint: first.Endpoint, Cause: err}
	}
	in, err := c.http.Open(ctx, jsonhttp.Request{
		Method: http.MethodPost, URL: "http://" + first.Address + "/v1/generate",
		Headers: map[string]string{"Content-Type": "application/json"}, Body: body, Timeout: headTimeout,
	})
	if err != nil {
		return &Error{Op: "generate", Kind: kindOf(err), Endpoint: first.Endpoint, Cause: err}
	}
	defer in.Close()
	if in.Status != http.StatusOK {
		kind := KindBroken
		if in.Header(engine.HeaderNotRun) != "" {
			kind = KindNotRun
		}
		cause := fmt.Errorf("got status %d, want %d", in.Status, http.StatusOK)
		return &Error{Op: "generate", Kind: kind, Endpoint: first.Endpoint, Cause: cause}
	}
	return copyEvents(ctx, in, events, first.Endpoint)
}

func kindOf(err error) Kind {
	if jsonhttp.KindOf(err) == jsonhttp.KindNotSent {
		return KindNotRun
	}
	return KindBroken
}

var errNoEnd = errors.New("stream ended without its end event")

// copyEvents reads events until the end event, an error event or a failure.
func copyEvents(ctx context.Context, in *jsonhttp.Stream, events chan<- engine.Event, endpoint string) error {
	lines := bufio.NewScanner(in)
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
		cause = errNoEnd
	}
	return &Error{Op: "read", Kind: KindBroken, Endpoint: endpoint, Cause: cause}
}

// Cancel ends a stream at one engine.
func (c *Client) Cancel(address string, m engine.Cancel) error {
	return c.call("cancel", http.MethodPost, address, "/v1/cancel", m, nil)
}

// Status reads an engine's report of itself.
func (c *Client) Status(address string) (engine.Status, error) {
	var s engine.Status
	err := c.call("status", http.MethodGet, address, "/v1/status", nil, &s)
	return s, err
}

// Probe asks whether an engine is there; ctx bounds the wait.
func (c *Client) Probe(ctx context.Context, address string) error {
	r := jsonhttp.Request{Method: http.MethodGet, URL: "http://" + address + "/v1/status", Timeout: c.callTimeout}
	if _, err := c.http.Exchange(ctx, r); err != nil {
		return &Error{Op: "probe", Kind: kindOf(err), Endpoint: address, Cause: err}
	}
	return nil
}

// Order sends an order. KindNotRun means that the engine refused it.
func (c *Client) Order(address string, o engine.Order) error {
	return c.call("order", http.MethodPost, address, "/v1/orders", o, nil)
}

func (c *Client) call(op, method, address, path string, in, out any) error {
	r := jsonhttp.Request{Method: method, URL: "http://" + address + path, Timeout: c.callTimeout}
	err := c.http.Call(r, in, out)
	if err == nil {
		return nil
	}
	kind := kindOf(err)
	var e *jsonhttp.Error
	if errors.As(err, &e) && e.Kind == jsonhttp.KindStatus && e.Status == http.StatusConflict {
		kind = KindNotRun
	}
	return &Error{Op: op, Kind: kind, Endpoint: address, Cause: err}
}
