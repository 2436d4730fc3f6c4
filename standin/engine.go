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

// EngineOptions configures an [Engine].
type EngineOptions struct {
	// Holding is the model, version and layers that the engine serves at
	// startup.
	Holding route.Holding
	// Kind is the accelerator type.
	Kind string
	// MaxLayers is the maximum number of layers that the engine can hold.
	MaxLayers int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// EventDelay is the publication delay of cache events. If
	// EventLossInterval is n > 0, every nth event is lost.
	EventDelay        time.Duration
	EventLossInterval int
	// ReportInterval is the minimum interval between refreshes of the
	// reported load.
	ReportInterval time.Duration
	// Slowdown is the fraction by which each additional concurrent sequence
	// lengthens a decoding step.
	Slowdown float64
	// Fences makes the engine reject orders whose fencing token is lower
	// than the highest one seen.
	Fences bool
	// StageTimeout is the timeout of a call to the next pipeline stage.
	StageTimeout time.Duration
	// WeightStoreURL is the base URL of the weight store. If it is empty,
	// loading layers takes no time.
	WeightStoreURL string
}

// Engine is a test inference engine that serves a range of a model's layers.
type Engine struct {
	opts      EngineOptions
	faults    faultInjector
	scheduler stepScheduler
	cache     *prefixCache
	client    *jsonhttp.Client

	mu sync.Mutex
	// holding is changed only by orders, and changing is set while one is carried
	// out. fence is the highest fencing token of an accepted order.
	holding  route.Holding
	draining bool
	changing bool
	role     engine.Role
	fence    int64
	// sequences holds the KV cache state by request ID.
	sequences map[string]sequence
	// cancelled maps a request ID to its highest cancelled attempt.
	cancelled   map[string]int
	openStreams int
	// reportedStatus is the status as last sampled, at reportedAt.
	reportedStatus engine.Status
	reportedAt     time.Time
	executedOrders []ExecutedOrder
}

// sequence describes the KV cache of one request: the layers and the number of
// tokens that it covers.
type sequence struct {
	layers   route.Range
	tokens   int
	lastUsed time.Time
}

// NewEngine returns an engine configured by o.
func NewEngine(o EngineOptions) *Engine {
	return &Engine{
		opts: o, holding: o.Holding, role: engine.RoleServe,
		scheduler: stepScheduler{slots: o.Holding.Slots, slowdown: o.Slowdown},
		cache:     newPrefixCache(o.CacheBlocks, o.EventDelay, o.EventLossInterval),
		client:    jsonhttp.NewClient(jsonhttp.DefaultOptions()),
		sequences: map[string]sequence{},
		cancelled: map[string]int{},
	}
}

// App returns the engine's HTTP application.
func (e *Engine) App() *fiber.App {
	app := newApp()
	e.faults.register(app)
	app.Post("/v1/generate", e.serveGenerate)
	app.Post("/v1/forward", e.serveForward)
	app.Post("/v1/cancel", e.serveCancel)
	app.Get("/v1/status", func(c fiber.Ctx) error { return c.JSON(e.sampleStatus(time.Now())) })
	app.Get("/v1/streams", func(c fiber.Ctx) error { return c.JSON(e.activeWork()) })
	app.Get("/v1/cache", e.serveCache)
	app.Post("/v1/kv/export", e.serveExport)
	app.Post("/v1/kv/import", e.serveImport)
	app.Post("/v1/orders", e.serveOrder)
	app.Get("/v1/orders", e.serveExecutedOrders)
	app.Post("/v1/drain", func(c fiber.Ctx) error {
		e.Drain()
		return c.SendStatus(fiber.StatusNoContent)
	})
	return app
}

// Drain makes the engine reject new streams.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// ActiveWork describes the current work of an engine.
type ActiveWork struct {
	// Streams counts the streams whose first stage is this engine; Sequences
	// counts the requests whose KV cache it holds.
	Streams   int `json:"streams"`
	Sequences int `json:"sequences"`
}

func (e *Engine) activeWork() ActiveWork {
	e.mu.Lock()
	defer e.mu.Unlock()
	return ActiveWork{Streams: e.openStreams, Sequences: len(e.sequences)}
}

// sequenceIdleTimeout is the time without a step after which Busy considers a
// sequence finished.
const sequenceIdleTimeout = 2 * time.Second

// Busy reports whether the engine serves streams, as their first stage or as a
// later one.
func (e *Engine) Busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sequences {
		if time.Since(s.lastUsed) < sequenceIdleTimeout {
			return true
		}
	}
	return e.openStreams > 0
}

// Host returns the engine's entry for the platform's host list.
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

// sampleStatus returns the current status. The holding and the load in it are
// sampled at most once per ReportInterval, as by an engine that samples its load
// periodically.
func (e *Engine) sampleStatus(now time.Time) engine.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.reportedAt) >= e.opts.ReportInterval {
		e.reportedAt = now
		e.reportedStatus = engine.Status{Holding: e.holding, Kind: e.opts.Kind, MaxLayers: e.opts.MaxLayers, Fence: e.fence}
		e.reportedStatus.Holding.Load = float64(e.scheduler.load())
	}
	s := e.reportedStatus
	s.Draining = e.draining
	s.Changing = e.changing
	s.Role = e.role
	return s
}

// rejectNotRun rejects a request and marks it as not executed, so that the
// caller may safely retry it elsewhere.
func rejectNotRun(c fiber.Ctx, status int, reason string) error {
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

// hopRejection returns the reason why the engine cannot run a hop, or "" if it
// can.
func (e *Engine) hopRejection(h route.Hop, version string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case h.Endpoint != e.holding.Endpoint || h.Incarnation != e.holding.Incarnation:
		return "hop addresses another incarnation of the engine"
	case version != e.holding.Version:
		return "hop requires another model version"
	case !e.holding.Layers.Covers(h.Layers):
		return "hop requires layers that the engine does not hold"
	}
	return ""
}

// forwardRequest is the request that a stage sends to the next one: the hidden
// state of one token and the remaining hops, starting with the receiver's.
type forwardRequest struct {
	RequestID string      `json:"request_id"`
	Attempt   int         `json:"attempt"`
	Prompt    string      `json:"prompt"`
	Priority  int         `json:"priority"`
	Position  int         `json:"position"`
	Version   string      `json:"version"`
	State     uint64      `json:"state"`
	Hops      []route.Hop `json:"hops"`
}

// forwardResponse is the response to a forwardRequest: the hidden state after
// the last hop, or the endpoint that failed and the reason.
type forwardResponse struct {
	State    uint64 `json:"state"`
	Endpoint string `json:"endpoint,omitempty"`
	// From is the endpoint that could not reach Endpoint, if the call between
	// them failed.
	From   string `json:"from,omitempty"`
	Reason string `json:"reason,omitempty"`
}

func (e *Engine) serveForward(c fiber.Ctx) error {
	var m forwardRequest
	if err := c.Bind().JSON(&m); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	return c.JSON(e.forward(m))
}

// forward applies this engine's layers to one token and sends it to the next
// hop, if any.
func (e *Engine) forward(m forwardRequest) forwardResponse {
	hop := m.Hops[0]
	if reason := e.hopRejection(hop, m.Version); reason != "" {
		return forwardResponse{Endpoint: hop.Endpoint, Reason: reason}
	}
	if e.isCancelled(m.RequestID, m.Attempt) {
		return forwardResponse{Endpoint: hop.Endpoint, Reason: "cancelled"}
	}
	e.scheduler.runStep(m.Priority, e.recordStep(m, hop))
	for l := hop.Layers.From; l < hop.Layers.To; l++ {
		m.State = reference.ApplyLayer(m.State, l)
	}
	m.Hops = m.Hops[1:]
	if len(m.Hops) == 0 {
		return forwardResponse{State: m.State}
	}
	if err := e.faults.simulateLink(m.Hops[0].Endpoint); err != nil {
		return forwardResponse{Endpoint: m.Hops[0].Endpoint, From: hop.Endpoint, Reason: err.Error()}
	}
	var out forwardResponse
	url := "http://" + m.Hops[0].Address + "/v1/forward"
	r := jsonhttp.Request{Method: http.MethodPost, URL: url, Timeout: e.opts.StageTimeout}
	if err := e.client.Call(r, m, &out); err != nil {
		return forwardResponse{Endpoint: m.Hops[0].Endpoint, From: hop.Endpoint, Reason: err.Error()}
	}
	return out
}

// prefillCostRatio is the ratio of the time to prefill a token to the time to
// decode one.
const prefillCostRatio = 0.05

// recordStep updates the KV cache and the prefix cache for one step through this
// engine's layers, and returns the time that the step takes on an idle engine. It
// includes the prefill of tokens that the caches do not cover.
func (e *Engine) recordStep(m forwardRequest, hop route.Hop) time.Duration {
	e.mu.Lock()
	seq, held := e.sequences[m.RequestID]
	if !seq.layers.Covers(hop.Layers) {
		seq, held = sequence{layers: hop.Layers}, false
	}
	e.sequences[m.RequestID] = sequence{layers: seq.layers, tokens: m.Position + 1, lastUsed: time.Now()}
	perLayer := e.holding.LayerTime
	e.mu.Unlock()
	missing := max(m.Position-seq.tokens, 0)
	if !held {
		missing += e.cache.insert(m.Prompt, time.Now())
	}
	tokens := 1 + prefillCostRatio*float64(missing)
	return time.Duration(tokens * float64(perLayer) * float64(hop.Layers.Len()))
}
