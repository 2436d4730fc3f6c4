package daemon

import (
	"context"
	"log/slog"
	"sync"

	"bulrushshed/completion"
	"bulrushshed/engine"
	"bulrushshed/enginehttp"
	"bulrushshed/route"
)

const (
	cancelWorkers   = 8
	cancelQueueSize = 4096
)

// canceller tells engines that attempts have ended. A message that finds no
// room is dropped: engines end a stream by themselves when its connection
// closes, and drop a KV cache that is not used.
type canceller struct {
	engines *enginehttp.Client
	log     *slog.Logger
	queue   chan cancellation
}

var _ completion.Canceller = (*canceller)(nil)

type cancellation struct {
	address string
	message engine.Cancel
}

func newCanceller(e *enginehttp.Client, log *slog.Logger) *canceller {
	return &canceller{engines: e, log: log, queue: make(chan cancellation, cancelQueueSize)}
}

// Cancel queues a message to each hop.
func (c *canceller) Cancel(hops []route.Hop, m engine.Cancel) {
	for _, h := range hops {
		select {
		case c.queue <- cancellation{address: h.Address, message: m}:
		default:
			c.log.Debug("daemon: cancel dropped", "endpoint", h.Endpoint, "request_id", m.RequestID)
		}
	}
}

// start sends queued messages until ctx ends, and reports its end on the
// returned channel.
func (c *canceller) start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	var workers sync.WaitGroup
	for range cancelWorkers {
		workers.Go(func() { c.runWorker(ctx) })
	}
	go func() {
		workers.Wait()
		done <- nil
	}()
	return done
}

func (c *canceller) runWorker(ctx context.Context) {
	for {
		select {
		case x := <-c.queue:
			if err := c.engines.Cancel(x.address, x.message); err != nil {
				c.log.Debug("daemon: cancel not sent", "address", x.address, "cause", err.Error())
			}
		case <-ctx.Done():
			return
		}
	}
}
