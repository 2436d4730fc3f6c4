package standin

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"bulrushshed/hostlog"
	"bulrushshed/platformhttp"
)

// Node is a test server that appears on the platform's host list. Host is its
// entry there; Drain makes it reject new work, and Busy reports unfinished work.
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
	announceInterval = 500 * time.Millisecond
	// minDrainTime is the minimum time for which a draining node continues to
	// serve, so that all entry hosts learn that it is leaving.
	minDrainTime      = 5 * time.Second
	drainPollInterval = 20 * time.Millisecond
	drainTimeout      = time.Minute
	callTimeout       = 2 * time.Second
)

// Listen serves app at address until ctx is done, and then shuts it down.
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
	shutdownCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return app.ShutdownWithContext(shutdownCtx)
}

// ServeNode serves a node and announces it to the platform until ctx is done.
// It then shuts down gracefully: the node rejects new work, and the server stops
// once the current work has finished.
func ServeNode(ctx context.Context, n Node, address, platformURL string) error {
	client := platformhttp.NewClient(platformURL, callTimeout)
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	serveErr := make(chan error, 1)
	go func() { serveErr <- Listen(serveCtx, n.App(), address) }()
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		// If the platform is down, the next tick repeats the announcement.
		_ = client.Announce(n.Host())
		select {
		case <-t.C:
		case <-ctx.Done():
		case err := <-serveErr:
			return err
		}
	}
	n.Drain()
	_ = client.Announce(n.Host())
	start := time.Now()
	for time.Since(start) < minDrainTime || n.Busy() && time.Since(start) < drainTimeout {
		time.Sleep(drainPollInterval)
	}
	cancel()
	return <-serveErr
}
