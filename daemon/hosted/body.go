package hosted

import (
	"context"
	"io"
	"sync"
	"time"

	"bulrushshed/forward"
	"bulrushshed/ingresshttp"
)

// stoppingRetryAfter is the Retry-After delay of requests refused by a stopping
// host; another host can serve them.
const stoppingRetryAfter = 50 * time.Millisecond

// countingForwarder counts the requests in flight, and refuses new ones once
// the host is closing.
type countingForwarder struct {
	host *Host
	next ingresshttp.Forwarder
}

// Do implements ingresshttp.Forwarder.
func (c countingForwarder) Do(ctx context.Context, req *forward.Request) *forward.Response {
	c.host.inFlight.Add(1)
	if c.host.closing.Load() {
		c.host.inFlight.Add(-1)
		c.host.log.Info("host: request refused", "request", req.ID, "cause", "stopping")
		return forward.Refuse(stoppingRetryAfter)
	}
	resp := c.next.Do(ctx, req)
	if !resp.Streaming {
		c.host.inFlight.Add(-1)
		return resp
	}
	resp.Body = &countingBody{ReadCloser: resp.Body, host: c.host}
	return resp
}

// countingBody is a streaming response body. Its request counts as in flight
// until the body is closed.
type countingBody struct {
	io.ReadCloser
	host *Host
	once sync.Once
}

// Close closes the body. Only the first call changes the count.
func (b *countingBody) Close() error {
	b.once.Do(func() { b.host.inFlight.Add(-1) })
	return b.ReadCloser.Close()
}
