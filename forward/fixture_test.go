package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"bulrushshed/forward"
	"bulrushshed/gossip"
	"bulrushshed/ingress"
	"bulrushshed/meter"
	"bulrushshed/pipeline"
	"bulrushshed/quarantine"
	"bulrushshed/ratelimit"
	"bulrushshed/replica"
	"bulrushshed/route"
)

// fixture is a forwarder with fake engines and replicas whose behaviour a test changes.
type fixture struct {
	forwarder *forward.Forwarder
	replicas  *replica.List
	upstream  *upstream
	tables    *tables
	limits    *ratelimit.Limits
	limiter   *ratelimit.Limiter
	findings  *findings
	// findingsKnown is the closed channel forward.Dependencies.FindingsKnown.
	findingsKnown chan struct{}
}

// tables is a forward.Tables whose configuration a test changes.
type tables struct {
	mu    sync.Mutex
	table *ingress.Table
	fresh bool
}

func (t *tables) Table() (*ingress.Table, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table, t.fresh
}

func (t *tables) set(table *ingress.Table, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table = table
	t.fresh = fresh
}

const (
	layers        = 4
	eventInterval = 25 * time.Millisecond
	key           = "secret"
)

var model = &ingress.Model{
	Layers: layers, LayerMB: 100, KVTokenMB: 0.4, StepTime: time.Millisecond,
	Accelerators: map[string]ingress.Accelerator{"small": {MemoryMB: 1200, Slowness: 1}, "fast": {MemoryMB: 1200, Slowness: 0.1}},
}

func config() ingress.Config {
	rule := func(name string, kind ingress.Kind, service string, attempts int) ingress.Rule {
		return ingress.Rule{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Resumable: kind == ingress.KindStream,
			Timeout: 3 * time.Second, Objective: 300 * time.Millisecond, MaxAttempts: attempts,
			Targets: []ingress.Target{{Service: service, Weight: 1}},
		}
	}
	return ingress.Config{
		Version: 1,
		Rules: []ingress.Rule{
			rule("stream", ingress.KindStream, "model", 2),
			rule("safe", ingress.KindSafe, "plain", 2),
			rule("single", ingress.KindStream, "model", 1),
			rule("unsafe", ingress.KindUnsafe, "plain", 2),
			rule("once", ingress.KindUnsafe, "plain", 1),
		},
		Services:     []ingress.Service{{Name: "model", Model: model}, {Name: "plain"}},
		KeysRequired: true,
		Customers:    []ingress.Customer{{Name: "ana", Keys: []string{key}}},
	}
}

// newFixture returns a fixture with two engines for each half of the layers and three
// plain replicas; budget is the number of retries allowed.
func newFixture(budget float64) *fixture {
	f := &fixture{replicas: replica.NewList(time.Second), tables: &tables{}}
	f.tables.set(ingress.NewTable(config()), true)
	f.upstream = &upstream{reports: map[string]int{}, down: map[string]bool{}, answers: map[string]func(forward.Send) (*forward.UpstreamResponse, error){}, streamBy: map[string]func(context.Context, forward.Send) *forward.UpstreamResponse{}, streams: map[string]*runningStream{}, events: eventCount}
	for i, held := range []route.Range{{From: 0, To: 2}, {From: 0, To: 2}, {From: 2, To: 4}, {From: 2, To: 4}} {
		f.replicas.Put(replica.Replica{
			ID: fmt.Sprintf("e%d", i), Service: "model", Address: fmt.Sprintf("e%d", i), FailureDomain: "a",
			Started: 1, Accelerator: "small", Layers: held, Slots: 8,
		})
	}
	for _, id := range []string{"p0", "p1", "p2"} {
		f.replicas.Put(replica.Replica{ID: id, Service: "plain", Address: id, FailureDomain: "a", Started: 1})
	}
	hosts := func() int { return 1 }
	f.limits = ratelimit.NewLimits(func(gossip.Item) {}, slog.New(slog.DiscardHandler))
	f.limiter = ratelimit.NewLimiter(f.limits, ratelimit.SingleHost{}, slog.New(slog.DiscardHandler))
	f.findings = &findings{}
	f.findingsKnown = make(chan struct{})
	close(f.findingsKnown)
	f.forwarder = forward.New(forward.Dependencies{
		Tables: f.tables, Replicas: f.replicas, Picker: replica.NewPicker("a"),
		Planner:       pipeline.NewPlanner(pipeline.Options{FailureDomain: "a", LocalHosts: hosts}),
		Progress:      pipeline.NewProgressTracker(),
		FindingsKnown: f.findingsKnown,
		Quarantine: quarantine.New(quarantine.Options{
			UnprovenCrashLimit: 1, Publish: func(quarantine.Finding) {}, Log: slog.New(slog.DiscardHandler),
		}),
		Upstream: f.upstream,
		Limiter:  f.limiter,
		Budget:   &retryTokens{left: budget},
		Findings: f.findings,
		Counter:  meter.New(10, 10), Log: slog.New(slog.DiscardHandler),
	})
	return f
}

// replaceEngines replaces the engines by the given number of engines for each layer.
func (f *fixture) replaceEngines(each int) {
	for i := range 4 {
		f.replicas.Remove(fmt.Sprintf("e%d", i), time.Now())
	}
	for layer := range layers {
		for n := range each {
			id := fmt.Sprintf("%d-%d", layer, n)
			f.replicas.Put(replica.Replica{
				ID: id, Service: "model", Address: id, FailureDomain: "a", Started: 1, Accelerator: "small",
				Layers: route.Range{From: layer, To: layer + 1}, Slots: 8,
			})
		}
	}
}

func request(rule string) *forward.Request {
	return &forward.Request{
		ID: rule + "-1", Method: "POST", Host: "h", Target: "/" + rule + "/x", Key: key,
		PromptTokens: 100, HintTokens: 50, Arrived: time.Now(),
	}
}

// upstream is a forward.Upstream whose replicas behave as a test specifies.
type upstream struct {
	mu sync.Mutex
	// down has engines that do not answer and that stall the streams through them.
	down map[string]bool
	// answers overrides how a replica answers a request, streamBy how an engine does
	// until the context ends, and crashing how engines do that crash.
	answers  map[string]func(forward.Send) (*forward.UpstreamResponse, error)
	streamBy map[string]func(context.Context, forward.Send) *forward.UpstreamResponse
	crashing *crashes
	sends    []forward.Send
	// reports counts the reports by engine.
	reports    map[string]int
	repaths    int
	repathedAt time.Time
	// full has engines without capacity for a stream that is rerouted.
	full map[string]bool
	// unnamed is set if the refusal of a reroute does not name the engine without capacity.
	// refused counts the refusals by that engine.
	unnamed bool
	refused map[string]int
	// streams are the running streams by request ID, and events is the number of
	// events of each.
	streams map[string]*runningStream
	events  int
}

// runningStream has the path of a stream, which Repath changes.
type runningStream struct {
	mu   sync.Mutex
	path route.Route
}

func (u *upstream) Send(ctx context.Context, s forward.Send) (*forward.UpstreamResponse, error) {
	u.mu.Lock()
	u.sends = append(u.sends, s)
	answer := u.answers[s.Replica.Address]
	down := u.down[s.Replica.Address]
	streamBy := u.streamBy[s.Replica.Address]
	crashing := u.crashing
	u.mu.Unlock()
	switch {
	case down:
		return nil, fmt.Errorf("dial: %w", forward.ErrNotSent)
	case answer != nil:
		return answer(s)
	case streamBy != nil:
		return streamBy(ctx, s), nil
	case len(s.Path.Hops) == 0:
		return answerWith(200, "ok"), nil
	case crashing != nil && slices.Contains(s.Request.SharedParts, crashing.part):
		return crashing.crash(u, s.Replica.Address), nil
	}
	return u.stream(ctx, s), nil
}

// eventCount is the default number of events of a complete stream.
const eventCount = 12

// stream answers with the events after the last one that the caller has received, while
// no engine of the path is down.
func (u *upstream) stream(ctx context.Context, s forward.Send) *forward.UpstreamResponse {
	r := &runningStream{path: s.Path}
	u.mu.Lock()
	u.streams[s.Request.ID] = r
	u.mu.Unlock()
	from := 0
	if s.LastEvent != "" {
		_, _ = fmt.Sscan(s.LastEvent, &from)
	}
	out, in := io.Pipe()
	go func() {
		for id := from + 1; id <= u.events; {
			select {
			case <-ctx.Done():
				_ = in.CloseWithError(ctx.Err())
				return
			case <-time.After(eventInterval):
			}
			if u.canProgress(r) {
				_, _ = fmt.Fprintf(in, "id: %d\ndata: t\n\n", id)
				id++
			}
		}
		_ = in.Close()
	}()
	return &forward.UpstreamResponse{Status: 200, Body: out, Signed: true}
}

func (u *upstream) canProgress(r *runningStream) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(r.path.Hops, func(h route.Hop) bool { return u.down[h.Address] })
}

func (u *upstream) Report(ctx context.Context, r replica.Replica) (forward.Report, error) {
	u.mu.Lock()
	u.reports[r.Address]++
	u.mu.Unlock()
	return forward.Report{Slowness: 1, CellsTotal: 1000}, u.Reach(ctx, r)
}

func (u *upstream) Reach(ctx context.Context, r replica.Replica) error {
	u.mu.Lock()
	down := u.down[r.Address]
	u.mu.Unlock()
	if !down {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (u *upstream) Repath(_ context.Context, _ replica.Replica, id string, path route.Route) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	r, ok := u.streams[id]
	if !ok {
		return errors.New("no such request")
	}
	for _, h := range path.Hops {
		if u.full[h.Address] && u.unnamed {
			u.refused[h.Address]++
			return &forward.Error{Op: "repath", Kind: forward.KindNoRoom}
		}
		if u.full[h.Address] {
			return &forward.Error{Op: "repath", Kind: forward.KindNoRoom, Address: h.Address}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.path = path
	u.repaths++
	u.repathedAt = time.Now()
	return nil
}

// takeDown makes an engine stop answering.
func (u *upstream) takeDown(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down[address] = true
}

// bringUp makes an engine that was taken down answer again.
func (u *upstream) bringUp(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.down, address)
}

func (u *upstream) sent() []forward.Send {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.sends)
}

func answerWith(status int, body string) *forward.UpstreamResponse {
	return &forward.UpstreamResponse{Status: status, Body: io.NopCloser(stringReader(body)), Signed: true}
}

func stringReader(text string) io.Reader { return &textReader{text: text} }

type textReader struct{ text string }

func (r *textReader) Read(p []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	n := copy(p, r.text)
	r.text = r.text[n:]
	return n, nil
}

// readEvents returns the IDs of the events that a caller receives, and the error with
// which the body ends.
func readEvents(t *testing.T, resp *forward.Response) (ids []int, err error) {
	t.Helper()
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	for id := range splitEvents(string(text)) {
		ids = append(ids, id)
	}
	return ids, err
}
