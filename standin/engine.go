package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"bulrushshed/engine"
	"bulrushshed/hostlog"
	"bulrushshed/jsonhttp"
	"bulrushshed/reference"
	"bulrushshed/route"
)

// EngineOptions describe one stand-in engine.
type EngineOptions struct {
	// Holding is what the engine holds at the start.
	Holding route.Holding
	// Kind is the kind of accelerator.
	Kind string
	// MaxLayers is the number of layers that the engine can hold.
	MaxLayers int
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// EventLag is how late cache events are published; of every EventGap
	// events one is lost.
	EventLag time.Duration
	EventGap int
	// ReportLag is the age of the load in a status.
	ReportLag time.Duration
	// Slowdown is the share by which each further sequence slows a batch.
	Slowdown float64
	// Fences makes the engine refuse orders with an old fencing number.
	Fences bool
	// StageTimeout bounds a call to the next stage.
	StageTimeout time.Duration
	// Weights is the base URL of the weight store.
	Weights string
}

// Engine runs a range of layers.
type Engine struct {
	opts   EngineOptions
	faults faults
	batch  batch
	cache  *prefixCache
	next   *jsonhttp.Client

	mu sync.Mutex
	// holding changes by orders only.
	holding  route.Holding
	draining bool
	changing bool
	role     engine.Role
	fence    int64
	// sequences holds the KV cache of each request that runs here.
	sequences map[string]sequence
	// cancelled holds the last attempt that was cancelled of each request.
	cancelled map[string]int
	streams   int
	reported  engine.Status
	reportAt  time.Time
	orders    []OrderRecord
}

// sequence is the KV cache of one request: the layers and the number of tokens
// that it covers.
type sequence struct {
	layers route.Range
	tokens int
	used   time.Time
}

// NewEngine returns an engine that holds what its options say.
func NewEngine(o EngineOptions) *Engine {
	return &Engine{
		opts: o, holding: o.Holding, role: engine.RoleServe,
		batch:     batch{slots: o.Holding.Slots, slowdown: o.Slowdown},
		cache:     newPrefixCache(o.CacheBlocks, o.EventLag, o.EventGap),
		next:      jsonhttp.NewClient(jsonhttp.DefaultOptions()),
		sequences: map[string]sequence{},
		cancelled: map[string]int{},
	}
}

// App returns the engine's HTTP server.
func (e *Engine) App() *fiber.App {
	app := newApp()
	e.faults.serve(app)
	app.Post("/v1/generate", e.serveGenerate)
	app.Post("/v1/forward", e.serveForward)
	app.Post("/v1/cancel", e.serveCancel)
	app.Get("/v1/status", func(c fiber.Ctx) error { return c.JSON(e.status(time.Now())) })
	app.Get("/v1/streams", func(c fiber.Ctx) error { return c.JSON(e.work()) })
	app.Get("/v1/cache", e.serveCache)
	app.Post("/v1/kv/export", e.serveExport)
	app.Post("/v1/kv/import", e.serveImport)
	app.Post("/v1/orders", e.serveOrder)
	app.Get("/v1/orders", e.serveOrders)
	app.Post("/v1/drain", func(c fiber.Ctx) error {
		e.Drain()
		return c.SendStatus(fiber.StatusNoContent)
	})
	return app
}

// Drain refuses new streams from now on.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Work is what runs on an engine now, for the checks.
type Work struct {
	// Streams are those that begin here; Sequences are the requests whose KV
	// cache is held.
	Streams   int `json:"streams"`
	Sequences int `json:"sequences"`
}

func (e *Engine) work() Work {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Work{Streams: e.streams, Sequences: len(e.sequences)}
}

// sequenceIdle is the time after which an unused sequence counts as ended.
const sequenceIdle = 2 * time.Second

// Busy reports whether streams begin here or pass through here.
func (e *Engine) Busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sequences {
		if time.Since(s.used) < sequenceIdle {
			return true
		}
	}
	return e.streams > 0
}

// Host returns the engine's line for the platform's list.
func (e *Engine) Host() hostlog.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := hostlog.Host{
		Name: e.holding.Endpoint, Address: e.holding.Address, Role: hostlog.RoleEngine,
		FailureDomain: e.holding.FailureDomain, State: hostlog.StateLive, Incarnation: e.holding.Incarnation,
	}
	if e.draining {
		h.State = hostlog.StateLeaving
	}
	return h
}

// status is refreshed no more often than the report lag allows.
func (e *Engine) status(now time.Time) engine.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.reportAt) >= e.opts.ReportLag {
		e.reportAt = now
		e.reported = engine.Status{Holding: e.holding, Kind: e.opts.Kind, MaxLayers: e.opts.MaxLayers, Fence: e.fence}
		e.reported.Holding.Load = float64(e.batch.load())
	}
	s := e.reported
	s.Draining = e.draining
	s.Changing = e.changing
	s.Role = e.role
	return s
}

// notRun refuses work that had no effect here.
func notRun(c fiber.Ctx, status int, reason string) error {
	c.Set(engine.HeaderNotRun, "true")
	return c.Status(status).JSON(fiber.Map{"error": reason})
}

func (e *Engine) serveCancel(c fiber.Ctx) error {
	var m engine.Cancel
	if err := c.Bind().JSON(&m); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	e.mu.Lock()
	e.cancelled[m.RequestID] = max(e.cancelled[m.RequestID], m.Attempt)
	if m.Free {
		delete(e.sequences, m.RequestID)
	}
	e.mu.Unlock()
	return c.SendStatus(fiber.StatusNoContent)
}

func (e *Engine) isCancelled(requestID string, attempt int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled[requestID] >= attempt
}

// accept returns why the engine will not run a hop, or "".
func (e *Engine) accept(h route.Hop, version string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case h.Endpoint != e.holding.Endpoint || h.Incarnation != e.holding.Incarnation:
		return "hop is for another incarnation"
	case version != e.holding.Version:
		return "hop is for another version"
	case !e.holding.Layers.Covers(h.Layers):
		return "layers are not held"
	}
	return ""
}

// forward is what a stage sends to the next: the state of one token and the
// hops that are left, the receiver's first.
type forward struct {
	RequestID string      `json:"request_id"`
	Attempt   int         `json:"attempt"`
	Prompt    string      `json:"prompt"`
	Priority  int         `json:"priority"`
	Position  int         `json:"position"`
	Version   string      `json:"version"`
	State     uint64      `json:"state"`
	Hops      []route.Hop `json:"hops"`
}

// forwarded is the state behind the last hop, or the endpoint that failed.
type forwarded struct {
	State    uint64 `json:"state"`
	Endpoint string `json:"endpoint,omitempty"`
	// From is the endpoint that could not reach it, if that is the reason.
	From   string `json:"from,omitempty"`
	Reason string `json:"reason,omitempty"`
}

func (e *Engine) serveForward(c fiber.Ctx) error {
	var m forward
	if err := c.Bind().JSON(&m); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	return c.JSON(e.run(m))
}

// run computes the own layers of one token and passes it on.
func (e *Engine) run(m forward) forwarded {
	own := m.Hops[0]
	if reason := e.accept(own, m.Version); reason != "" {
		return forwarded{Endpoint: own.Endpoint, Reason: reason}
	}
	if e.isCancelled(m.RequestID, m.Attempt) {
		return forwarded{Endpoint: own.Endpoint, Reason: "cancelled"}
	}
	e.batch.step(m.Priority, e.stepTime(m, own))
	for l := own.Layers.From; l < own.Layers.To; l++ {
		m.State = reference.ApplyLayer(m.State, l)
	}
	m.Hops = m.Hops[1:]
	if len(m.Hops) == 0 {
		return forwarded{State: m.State}
	}
	if err := e.faults.cross(m.Hops[0].Endpoint); err != nil {
		return forwarded{Endpoint: m.Hops[0].Endpoint, From: own.Endpoint, Reason: err.Error()}
	}
	var out forwarded
	url := "http://" + m.Hops[0].Address + "/v1/forward"
	r := jsonhttp.Request{Method: http.MethodPost, URL: url, Timeout: e.opts.StageTimeout}
	if err := e.next.Call(r, m, &out); err != nil {
		return forwarded{Endpoint: m.Hops[0].Endpoint, From: own.Endpoint, Reason: err.Error()}
	}
	return out
}

// prefillShare is the time of a prefilled token beside that of a decoded one.
const prefillShare = 0.05

// stepTime is the time of the own layers on an idle engine. Tokens that the
// KV cache does not cover are computed first.
func (e *Engine) stepTime(m forward, own route.Hop) time.Duration {
	e.mu.Lock()
	seq, held := e.sequences[m.RequestID]
	if !seq.layers.Covers(own.Layers) {
		seq, held = sequence{layers: own.Layers}, false
	}
	e.sequences[m.RequestID] = sequence{layers: seq.layers, tokens: m.Position + 1, used: time.Now()}
	perLayer := e.holding.LayerTime
	e.mu.Unlock()
	missing := max(m.Position-seq.tokens, 0)
	if !held {
		missing += e.cache.admit(m.Prompt, time.Now())
	}
	tokens := 1 + prefillShare*float64(missing)
	return time.Duration(tokens * float64(perLayer) * float64(own.Layers.Len()))
}
