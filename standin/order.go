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

const (
	// changeLag is how long a changing engine serves on, so that all entry
	// hosts have learnt that it changes.
	changeLag = 2500 * time.Millisecond
	// changeIdle is the time without a step after which a sequence has
	// ended, and changeMax the bound on the wait for that.
	changeIdle = 500 * time.Millisecond
	changeMax  = 20 * time.Second
)

// serveOrder takes an order and carries it out behind the answer.
func (e *Engine) serveOrder(c fiber.Ctx) error {
	var o engine.Order
	if err := c.Bind().JSON(&o); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.opts.Fences && o.Fence < e.fence:
		return notRun(c, fiber.StatusConflict, "old fencing number")
	case o.Layers.Len() > e.opts.MaxLayers:
		return notRun(c, fiber.StatusConflict, "too many layers")
	case e.changing:
		return notRun(c, fiber.StatusConflict, "changing already")
	}
	e.fence = max(e.fence, o.Fence)
	e.changing = true
	go e.change(o)
	return c.SendStatus(fiber.StatusAccepted)
}

// change waits for the streams that run here, fetches the weights and then
// holds what the order says, unless a newer holder of the lease has spoken.
func (e *Engine) change(o engine.Order) {
	time.Sleep(changeLag)
	for start := time.Now(); e.stepped(changeIdle) && time.Since(start) < changeMax; {
		time.Sleep(drainPoll)
	}
	var err error
	if o.Role != engine.RoleStandby {
		err = e.fetchWeights(o)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changing = false
	e.reportAt = time.Time{}
	if err != nil || e.opts.Fences && o.Fence < e.fence {
		return
	}
	e.role = o.Role
	if o.Role == engine.RoleStandby {
		e.orders = append(e.orders, OrderRecord{Order: o, At: time.Now()})
		return
	}
	e.holding.Model = o.Model
	e.holding.Version = o.ReleaseName()
	e.holding.Layers = o.Layers
	clear(e.sequences)
	e.orders = append(e.orders, OrderRecord{Order: o, At: time.Now()})
}

// stepped reports whether a sequence made a step within a time.
func (e *Engine) stepped(within time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sequences {
		if time.Since(s.used) < within {
			return true
		}
	}
	return false
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
