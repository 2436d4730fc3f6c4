package standin

import (
	"errors"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

// Fault is how a stand-in is told to fail; its zero value ends all faults.
type Fault struct {
	// OutageMS refuses all calls for that many milliseconds.
	OutageMS int `json:"outage_ms"`
	// SlowMS delays every call.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers closes the connection of that many calls after they took
	// effect.
	LoseAnswers int `json:"lose_answers"`
	// Links are the delays, in milliseconds, of the ways to other endpoints;
	// a negative one cuts the way.
	Links map[string]int `json:"links"`
}

// faults holds the fault in force.
type faults struct {
	mu    sync.Mutex
	fault Fault
	until time.Time
}

func (f *faults) set(fault Fault, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	f.until = now.Add(time.Duration(fault.OutageMS) * time.Millisecond)
}

func (f *faults) down(now time.Time) (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.until), time.Duration(f.fault.SlowMS) * time.Millisecond
}

func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault.LoseAnswers == 0 {
		return false
	}
	f.fault.LoseAnswers--
	return true
}

var errCut = errors.New("the link is cut")

// cross takes the time of the way to another endpoint.
func (f *faults) cross(to string) error {
	f.mu.Lock()
	delay := f.fault.Links[to]
	f.mu.Unlock()
	if delay < 0 {
		return errCut
	}
	time.Sleep(time.Duration(delay) * time.Millisecond)
	return nil
}

// serve registers the call that sets faults, and applies them to all others.
func (f *faults) serve(app *fiber.App) {
	app.Post("/fault", func(c fiber.Ctx) error {
		var fault Fault
		if err := c.Bind().JSON(&fault); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		f.set(fault, time.Now())
		return c.SendStatus(fiber.StatusNoContent)
	})
	app.Use(func(c fiber.Ctx) error {
		down, slow := f.down(time.Now())
		if down {
			return c.Status(fiber.StatusServiceUnavailable).SendString("outage")
		}
		time.Sleep(slow)
		return c.Next()
	})
}

// drop closes the connection in place of an answer.
func drop(c fiber.Ctx) error {
	return c.RequestCtx().Conn().Close()
}

func newApp() *fiber.App {
	return fiber.New(fiber.Config{Immutable: true, BodyLimit: 8 << 20})
}
