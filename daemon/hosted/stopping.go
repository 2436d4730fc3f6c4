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
	next *forward.Forwarder
}

var _ ingresshttp.Forwarder = stoppingForwarder{}

// Screen returns the response to a request that is refused or rejected by its header alone,
// or nil.
func (s stoppingForwarder) Screen(req *forward.Request) *forward.Response {
	if s.host.closing.Load() {
		return s.refuse(req)
	}
	return s.next.Screen(req)
}

// Do implements ingresshttp.Forwarder.
func (s stoppingForwarder) Do(ctx context.Context, req *forward.Request) *forward.Response {
	if s.host.closing.Load() {
		return s.refuse(req)
	}
	return s.next.Do(ctx, req)
}

func (s stoppingForwarder) refuse(req *forward.Request) *forward.Response {
	s.host.log.Info("host: request refused", "request", req.ID, "cause", "stopping")
	return forward.Refuse(stoppingRetryAfter)
}
