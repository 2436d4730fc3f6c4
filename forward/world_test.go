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
	"bulrushshed/ingress"
	"bulrushshed/meter"
	"bulrushshed/pipeline"
	"bulrushshed/replica"
	"bulrushshed/route"
)

// world is a forwarder before engines and replicas that a test breaks.
type world struct {
	forwarder *forward.Forwarder
	replicas  *replica.List
	upstream  *upstream
	tables    *tables
}

// tables is a configuration that a test changes.
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
	layers = 4
	gap    = 25 * time.Millisecond
	key    = "secret"
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
		Services:  []ingress.Service{{Name: "model", Model: model}, {Name: "plain"}},
		Customers: []ingress.Customer{{Name: "ana", Keys: []string{key}}},
	}
}

// newWorld has two engines for each half of the layers, and three plain
// replicas; budget is how many repeats are allowed.
func newWorld(budget float64) *world {
	w := &world{replicas: replica.NewList(time.Second), tables: &tables{}}
	w.tables.set(ingress.NewTable(config()), true)
	w.upstream = &upstream{gone: map[string]bool{}, answers: map[string]func(forward.Send) (*forward.UpstreamResponse, error){}, streams: map[string]*running{}, events: events}
	for i, held := range []route.Range{{From: 0, To: 2}, {From: 0, To: 2}, {From: 2, To: 4}, {From: 2, To: 4}} {
		w.replicas.Put(replica.Replica{
			ID: fmt.Sprintf("e%d", i), Service: "model", Address: fmt.Sprintf("e%d", i), FailureDomain: "a",
			Started: 1, Accelerator: "small", Layers: held, Slots: 8,
		})
	}
	for _, id := range []string{"p0", "p1", "p2"} {
		w.replicas.Put(replica.Replica{ID: id, Service: "plain", Address: id, FailureDomain: "a", Started: 1})
	}
	hosts := func() int { return 1 }
	w.forwarder = forward.New(forward.Dependencies{
		Tables: w.tables, Replicas: w.replicas, Picker: replica.NewPicker("a"),
		Planner:  pipeline.NewPlanner(pipeline.Options{FailureDomain: "a", Near: hosts}),
		Pulse:    pipeline.NewProgressTracker(),
		Upstream: w.upstream,
		Budget:   forward.NewBudget(forward.BudgetOptions{Extra: budget, Window: 10 * time.Second, Hosts: hosts}),
		Counter:  meter.New(10, 10), Log: slog.New(slog.DiscardHandler),
	})
	return w
}

// replaceEngines lists some engines for each single layer in place of the others.
func (w *world) replaceEngines(each int) {
	for i := range 4 {
		w.replicas.Remove(fmt.Sprintf("e%d", i), time.Now())
	}
	for layer := range layers {
		for n := range each {
			id := fmt.Sprintf("%d-%d", layer, n)
			w.replicas.Put(replica.Replica{
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

// upstream is replicas that do as a test says.
type upstream struct {
	mu sync.Mutex
	// gone names engines that answer nothing and stall what passes them.
	gone map[string]bool
	// answers overrides what a replica does with a request.
	answers map[string]func(forward.Send) (*forward.UpstreamResponse, error)
	sends   []forward.Send
	moves   int
	movedAt time.Time
	// full names engines that have no room for a stream that moves.
	full map[string]bool
	// streams are those that run, by request, of so many events each.
	streams map[string]*running
	events  int
}

// running is the path of a stream, which a repath changes.
type running struct {
	mu   sync.Mutex
	path route.Route
}

func (u *upstream) Send(ctx context.Context, s forward.Send) (*forward.UpstreamResponse, error) {
	u.mu.Lock()
	u.sends = append(u.sends, s)
	answer := u.answers[s.Replica.Address]
	gone := u.gone[s.Replica.Address]
	u.mu.Unlock()
	switch {
	case gone:
		return nil, fmt.Errorf("dial: %w", forward.ErrNotSent)
	case answer != nil:
		return answer(s)
	case len(s.Path.Hops) == 0:
		return whole(200, "ok"), nil
	}
	return u.stream(ctx, s), nil
}

// events is the number of events of a whole stream, if a test does not say.
const events = 12

// stream answers with the events behind the last one that the caller has, as
// long as all engines of the path are there.
func (u *upstream) stream(ctx context.Context, s forward.Send) *forward.UpstreamResponse {
	r := &running{path: s.Path}
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
			case <-time.After(gap):
			}
			if u.passes(r) {
				_, _ = fmt.Fprintf(in, "id: %d\ndata: t\n\n", id)
				id++
			}
		}
		_ = in.Close()
	}()
	return &forward.UpstreamResponse{Status: 200, Body: out, Sealed: true}
}

func (u *upstream) passes(r *running) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(r.path.Hops, func(h route.Hop) bool { return u.gone[h.Address] })
}

func (u *upstream) Report(ctx context.Context, r replica.Replica) (forward.Report, error) {
	u.mu.Lock()
	gone := u.gone[r.Address]
	u.mu.Unlock()
	if gone {
		<-ctx.Done()
		return forward.Report{}, ctx.Err()
	}
	return forward.Report{Slowness: 1, CellsTotal: 1000}, nil
}

func (u *upstream) Repath(_ context.Context, _ replica.Replica, id string, path route.Route) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	r, ok := u.streams[id]
	if !ok {
		return errors.New("no such request")
	}
	for _, h := range path.Hops {
		if u.full[h.Address] {
			return &forward.Error{Op: "repath", Kind: forward.KindNoRoom, Address: h.Address}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.path = path
	u.moves++
	u.movedAt = time.Now()
	return nil
}

// lose makes an engine vanish.
func (u *upstream) lose(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.gone[address] = true
}

func (u *upstream) sent() []forward.Send {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.sends)
}

func whole(status int, body string) *forward.UpstreamResponse {
	return &forward.UpstreamResponse{Status: status, Body: io.NopCloser(stringReader(body)), Sealed: true}
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

// read returns the numbers of the events that a caller gets, and how its answer
// ends.
func read(t *testing.T, resp *forward.Response) (ids []int, err error) {
	t.Helper()
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	for id := range splitEvents(string(text)) {
		ids = append(ids, id)
	}
	return ids, err
}
