package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"bulrushshed/engine"
	"bulrushshed/jsonhttp"
)

// OrderRecord is an order that an engine carried out, for the checks.
type OrderRecord struct {
	engine.Order
	At time.Time `json:"at"`
}

func (e *Engine) serveOrder(c fiber.Ctx) error {
	var o engine.Order
	if err := c.Bind().JSON(&o); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	if !e.takeFence(o.Fence) {
		return notRun(c, fiber.StatusConflict, "old fencing number")
	}
	if err := e.fetchWeights(o); err != nil {
		return c.Status(fiber.StatusBadGateway).SendString(err.Error())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.Fences && o.Fence < e.fence {
		return notRun(c, fiber.StatusConflict, "old fencing number")
	}
	e.holding.Model = o.Model
	e.holding.Version = o.Version
	e.holding.Layers = o.Layers
	e.orders = append(e.orders, OrderRecord{Order: o, At: time.Now()})
	return c.SendStatus(fiber.StatusNoContent)
}

// takeFence notes a fencing number and reports whether its order may run.
func (e *Engine) takeFence(fence int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.Fences && fence < e.fence {
		return false
	}
	e.fence = max(e.fence, fence)
	return true
}

func (e *Engine) fetchWeights(o engine.Order) error {
	if e.opts.Weights == "" {
		return nil
	}
	url := e.opts.Weights + "/v1/weights?layers=" + strconv.Itoa(o.Layers.Len())
	return e.next.Call(jsonhttp.Request{Method: http.MethodGet, URL: url, Timeout: time.Minute}, nil, nil)
}

func (e *Engine) serveOrders(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(e.orders)
}
