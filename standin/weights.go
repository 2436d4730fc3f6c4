package standin

import (
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

// weights hands out layers at a bounded rate, first come first served.
type weights struct {
	layerTime time.Duration

	mu   sync.Mutex
	free time.Time
}

func (w *weights) reserve(layers int, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.free.Before(now) {
		w.free = now
	}
	w.free = w.free.Add(time.Duration(layers) * w.layerTime)
	return w.free.Sub(now)
}

func (w *weights) serve(c fiber.Ctx) error {
	layers, err := strconv.Atoi(c.Query("layers"))
	if err != nil || layers < 0 {
		return c.Status(fiber.StatusBadRequest).SendString("layers")
	}
	time.Sleep(w.reserve(layers, time.Now()))
	return c.SendStatus(fiber.StatusNoContent)
}
