package hosted

import (
	"net"

	"github.com/valyala/fasthttp"

	"bulrushshed/accept"
	"bulrushshed/ingress"
	"bulrushshed/ingresshttp"
	"bulrushshed/intake"
	"bulrushshed/settings"
)

const (
	// auxiliaryFraction is the fraction of the descriptors for sockets that each of the
	// servers for directory, readiness and metrics may use, and maxAuxiliary an upper bound.
	// With the share of callers at least 0.18 remains for replicas, the store and other hosts.
	auxiliaryFraction = 0.04
	maxAuxiliary      = 256
)

// connectionBounds are the bounds on the connections of a host.
type connectionBounds struct {
	callers intake.ConnectionOptions
	// auxiliary applies to each of the servers for directory, readiness and metrics.
	auxiliary intake.ConnectionOptions
}

// newConnectionBounds returns the bounds for a process with a limit on its descriptors.
func newConnectionBounds(cfg settings.Host, processLimit int) connectionBounds {
	descriptors := processLimit
	if cfg.MaxDescriptors > 0 {
		descriptors = min(cfg.MaxDescriptors, processLimit)
	}
	sockets := descriptors - accept.FileDescriptors
	callers := cfg.MaxConnections
	if callers == 0 {
		callers = intake.DefaultMaxConnections(sockets, int64(cfg.RequestMemoryBytes()))
	}
	return connectionBounds{
		callers:   intake.ConnectionOptions{Max: callers, MaxPerAddress: cfg.MaxConnectionsPerAddress},
		auxiliary: intake.ConnectionOptions{Max: max(min(int(auxiliaryFraction*float64(sockets)), maxAuxiliary), 1)},
	}
}

// callerLimits returns the limits of the newest configuration.
func (h *Host) callerLimits() ingress.Limits {
	if t := h.table.Load(); t != nil {
		return t.Limits
	}
	return ingress.DefaultLimits()
}

// callerConnections returns the options for the connections of callers.
func (h *Host) callerConnections() ingresshttp.ConnectionOptions {
	return ingresshttp.ConnectionOptions{ConnectionOptions: h.bounds.callers, Closed: h.reportClosed}
}

// serveAuxiliary serves one of the other listeners. When no descriptor is left, callers
// give up idle connections, too.
func (h *Host) serveAuxiliary(ln net.Listener, handle fasthttp.RequestHandler) error {
	return ingresshttp.NewAuxiliaryServer(ingresshttp.ConnectionOptions{
		ConnectionOptions: h.bounds.auxiliary, Closed: h.reportClosed, Exhausted: h.callerServer.CloseIdle,
	}, h.log, handle).Serve(ln)
}
