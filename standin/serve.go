package standin

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"bulrushshed/hostlog"
	"bulrushshed/platformhttp"
)

// Node is a stand-in that the platform lists as a host.
type Node interface {
	App() *fiber.App
	Host() hostlog.Host
	Drain()
	Busy() bool
}

var (
	_ Node = (*Engine)(nil)
	_ Node = (*Service)(nil)
)

const (
	announceEvery = 500 * time.Millisecond
	// lingers is how long a drained node serves on, so that all entry hosts
	// have learnt that it leaves.
	lingers   = 5 * time.Second
	drainPoll = 20 * time.Millisecond
	drainMax  = time.Minute
	callMax   = 2 * time.Second
)

// Listen serves an application at an address until ctx ends.
func Listen(ctx context.Context, app *fiber.App, address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true}) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	last, cancel := context.WithTimeout(context.Background(), callMax)
	defer cancel()
	return app.ShutdownWithContext(last)
}

// ServeNode serves a node until stop ends, and then stops gracefully: the
// node refuses new work, and leaves once its work has ended.
func ServeNode(stop context.Context, n Node, address, platformURL string) error {
	p := platformhttp.NewClient(platformURL, callMax)
	work, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	served := make(chan error, 1)
	go func() { served <- Listen(work, n.App(), address) }()
	t := time.NewTicker(announceEvery)
	defer t.Stop()
	for stop.Err() == nil {
		// A platform that is down hears of the node at the next tick.
		_ = p.Announce(n.Host())
		select {
		case <-t.C:
		case <-stop.Done():
		case err := <-served:
			return err
		}
	}
	n.Drain()
	_ = p.Announce(n.Host())
	start := time.Now()
	for time.Since(start) < lingers || n.Busy() && time.Since(start) < drainMax {
		time.Sleep(drainPoll)
	}
	cancel()
	return <-served
}
