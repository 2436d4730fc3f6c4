package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"bulrushshed/engine"
	"bulrushshed/jsonhttp"
)

// ExecutedOrder is an order with the time at which an engine executed it.
type ExecutedOrder struct {
	engine.Order
	At time.Time `json:"at"`
}

const (
	// changeDelay is the time for which an engine continues to serve after it
	// accepted an order, so that all entry hosts learn of the change.
	changeDelay = 2500 * time.Millisecond
	// changeIdleTimeout is the time without any step after which the engine
	// changes its layers, and changeDrainTimeout is the maximum wait for that.
	changeIdleTimeout  = 500 * time.Millisecond
	changeDrainTimeout = 20 * time.Second
)

// serveOrder accepts an order and executes it asynchronously.
func (e *Engine) serveOrder(c fiber.Ctx) error {
	var o engine.Order
	if err := c.Bind().JSON(&o); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.opts.Fences && o.Fence < e.fence:
		return rejectNotRun(c, fiber.StatusConflict, "order has a lower fencing token than an earlier order")
	case o.Layers.Len() > e.opts.MaxLayers:
		return rejectNotRun(c, fiber.StatusConflict, "order exceeds the engine's maximum number of layers")
	case e.changing:
		return rejectNotRun(c, fiber.StatusConflict, "the engine is still carrying out another order")
	}
	e.fence = max(e.fence, o.Fence)
	e.changing = true
	go e.applyOrder(o)
	return c.SendStatus(fiber.StatusAccepted)
}

// applyOrder waits for running sequences to finish, loads the weights and then
// applies the order. If an order with a higher fencing token has been accepted
// meanwhile, the older one is discarded.
func (e *Engine) applyOrder(o engine.Order) {
	time.Sleep(changeDelay)
	for start := time.Now(); e.steppedWithin(changeIdleTimeout) && time.Since(start) < changeDrainTimeout; {
		time.Sleep(drainPollInterval)
	}
	var err error
	if o.Role != engine.RoleStandby {
		err = e.fetchWeights(o)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changing = false
	e.reportedAt = time.Time{}
	if err != nil || e.opts.Fences && o.Fence < e.fence {
		return
	}
	e.role = o.Role
	if o.Role == engine.RoleStandby {
		e.executedOrders = append(e.executedOrders, ExecutedOrder{Order: o, At: time.Now()})
		return
	}
	e.holding.Model = o.Model
	e.holding.Version = o.ReleaseName()
	e.holding.Layers = o.Layers
	clear(e.sequences)
	e.executedOrders = append(e.executedOrders, ExecutedOrder{Order: o, At: time.Now()})
}

// steppedWithin reports whether any sequence made a step within the given
// duration.
func (e *Engine) steppedWithin(within time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sequences {
		if time.Since(s.lastUsed) < within {
			return true
		}
	}
	return false
}

// fetchWeights takes the time that the weight store needs to serve the layers.
func (e *Engine) fetchWeights(o engine.Order) error {
	if e.opts.WeightStoreURL == "" {
		return nil
	}
	url := e.opts.WeightStoreURL + "/v1/weights?layers=" + strconv.Itoa(o.Layers.Len())
	return e.client.Call(jsonhttp.Request{Method: http.MethodGet, URL: url, Timeout: time.Minute}, nil, nil)
}

func (e *Engine) serveExecutedOrders(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(e.executedOrders)
}
