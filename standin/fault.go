package standin

import (
	"errors"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

// Fault configures fault injection. The zero value clears all faults.
type Fault struct {
	// OutageMS is the duration, in milliseconds, for which all requests are
	// answered with 503 Service Unavailable.
	OutageMS int `json:"outage_ms"`
	// SlowMS is the delay added to each request, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is the number of requests that are executed but not
	// answered: the connection is closed instead.
	LoseAnswers int `json:"lose_answers"`
	// Links maps an endpoint to the added latency, in milliseconds, of calls
	// to it. With a negative value the calls fail.
	Links map[string]int `json:"links"`
}

// faultInjector holds the active fault configuration.
type faultInjector struct {
	mu        sync.Mutex
	fault     Fault
	outageEnd time.Time
}

func (f *faultInjector) set(fault Fault, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
	f.outageEnd = now.Add(time.Duration(fault.OutageMS) * time.Millisecond)
}

// outageAndDelay reports whether an outage is active, and the delay of each
// request.
func (f *faultInjector) outageAndDelay(now time.Time) (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.outageEnd), time.Duration(f.fault.SlowMS) * time.Millisecond
}

// consumeResponseDrop reports whether to drop the current response, and if so
// decrements LoseAnswers.
func (f *faultInjector) consumeResponseDrop() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault.LoseAnswers == 0 {
		return false
	}
	f.fault.LoseAnswers--
	return true
}

var errLinkDown = errors.New("link is down (injected fault)")

// simulateLink simulates the link to another endpoint: it sleeps for the link's
// latency or returns an error if the link is down.
func (f *faultInjector) simulateLink(to string) error {
	f.mu.Lock()
	delay := f.fault.Links[to]
	f.mu.Unlock()
	if delay < 0 {
		return errLinkDown
	}
	time.Sleep(time.Duration(delay) * time.Millisecond)
	return nil
}

// register adds the route that configures faults to app, and applies the faults to
// all routes that are added after it.
func (f *faultInjector) register(app *fiber.App) {
	app.Post("/fault", func(c fiber.Ctx) error {
		var fault Fault
		if err := c.Bind().JSON(&fault); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		f.set(fault, time.Now())
		return c.SendStatus(fiber.StatusNoContent)
	})
	app.Use(func(c fiber.Ctx) error {
		outage, delay := f.outageAndDelay(time.Now())
		if outage {
			return c.Status(fiber.StatusServiceUnavailable).SendString("outage")
		}
		time.Sleep(delay)
		return c.Next()
	})
}

// closeConnection closes the connection without sending a response.
func closeConnection(c fiber.Ctx) error {
	return c.RequestCtx().Conn().Close()
}

func newApp() *fiber.App {
	return fiber.New(fiber.Config{Immutable: true, BodyLimit: 8 << 20})
}
