package hosted

import (
	"context"
	"time"

	"bulrushshed/forward"
	"bulrushshed/ingresshttp"
)

// stoppingRetryAfter is the Retry-After delay of requests refused by a stopping
// host; another host can serve them.
const stoppingRetryAfter = 50 * time.Millisecond

// stoppingForwarder refuses requests once the host is closing.
type stoppingForwarder struct {
	host *Host
	next ingresshttp.Forwarder
}

// Do implements ingresshttp.Forwarder.
func (s stoppingForwarder) Do(ctx context.Context, req *forward.Request) *forward.Response {
	if s.host.closing.Load() {
		s.host.log.Info("host: request refused", "request", req.ID, "cause", "stopping")
		return forward.Refuse(stoppingRetryAfter)
	}
	return s.next.Do(ctx, req)
}
