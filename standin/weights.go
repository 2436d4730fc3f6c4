package standin

import (
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

// weightStore simulates a weight store that serves layers at a limited rate, in
// order of request.
type weightStore struct {
	layerTime time.Duration

	mu sync.Mutex
	// freeAt is the time at which the requests so far have been served.
	freeAt time.Time
}

// reserve enqueues a request and returns the time until it has been served.
func (w *weightStore) reserve(layers int, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.freeAt.Before(now) {
		w.freeAt = now
	}
	w.freeAt = w.freeAt.Add(time.Duration(layers) * w.layerTime)
	return w.freeAt.Sub(now)
}

func (w *weightStore) serve(c fiber.Ctx) error {
	layers, err := strconv.Atoi(c.Query("layers"))
	if err != nil || layers < 0 {
		return c.Status(fiber.StatusBadRequest).SendString("layers is not a non-negative integer")
	}
	time.Sleep(w.reserve(layers, time.Now()))
	return c.SendStatus(fiber.StatusNoContent)
}
