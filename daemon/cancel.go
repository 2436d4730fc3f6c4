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

// canceller tells engines asynchronously that attempts have ended. It drops
// messages when its queue is full, which is safe: engines also end a stream when
// its connection closes, and evict unused KV caches.
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

// Cancel queues one message per hop.
func (c *canceller) Cancel(hops []route.Hop, m engine.Cancel) {
	for _, h := range hops {
		select {
		case c.queue <- cancellation{address: h.Address, message: m}:
		default:
			c.log.Debug("daemon: cancel message dropped, because the queue is full; the engine stops when the stream's connection closes", "endpoint", h.Endpoint, "request_id", m.RequestID)
		}
	}
}

// start runs the workers that send queued messages until ctx is cancelled. The
// returned channel receives nil when all of them have ended.
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
		case queued := <-c.queue:
			if err := c.engines.Cancel(queued.address, queued.message); err != nil {
				c.log.Debug("daemon: sending cancel message failed; the engine stops when the stream's connection closes", "address", queued.address, "cause", err.Error())
			}
		case <-ctx.Done():
			return
		}
	}
}
