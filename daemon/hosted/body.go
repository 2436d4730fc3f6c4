package hosted

import (
	"context"
	"io"
	"sync"
	"time"

	"bulrushshed/forward"
	"bulrushshed/ingresshttp"
)

// stopRetry is when a caller that a stopping host refuses may try another one.
const stopRetry = 50 * time.Millisecond

// counted counts the requests that are being served.
type counted struct {
	host *Host
	next ingresshttp.Forwarder
}

// Do implements ingresshttp.Forwarder.
func (c counted) Do(ctx context.Context, req *forward.Request) *forward.Response {
	c.host.present.Add(1)
	if c.host.closing.Load() {
		c.host.present.Add(-1)
		c.host.log.Info("host: refused", "request", req.ID, "cause", "stopping")
		return forward.Refuse(stopRetry)
	}
	resp := c.next.Do(ctx, req)
	if !resp.Streaming {
		c.host.present.Add(-1)
		return resp
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, host: c.host}
	return resp
}

// countedBody counts its request as served when it is closed.
type countedBody struct {
	io.ReadCloser
	host *Host
	once sync.Once
}

// Close ends the body.
func (b *countedBody) Close() error {
	b.once.Do(func() { b.host.present.Add(-1) })
	return b.ReadCloser.Close()
}
