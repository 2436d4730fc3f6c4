package hosted

import (
	"log/slog"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"bulrushshed/ingress"
	"bulrushshed/ingresshttp"
	"bulrushshed/intake"
	"bulrushshed/meter"
	"bulrushshed/settings"
)

const (
	// fileDescriptors is how many of the descriptors are reserved for files, as the platform
	// does.
	fileDescriptors = 200
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
	sockets := descriptors - fileDescriptors
	callers := cfg.MaxConnections
	if callers == 0 {
		callers = intake.DefaultMaxConnections(sockets, int64(cfg.RequestMemoryBytes()))
	}
	return connectionBounds{
		callers:   intake.ConnectionOptions{Max: callers, MaxPerAddress: cfg.MaxConnectionsPerAddress},
		auxiliary: intake.ConnectionOptions{Max: max(min(int(auxiliaryFraction*float64(sockets)), maxAuxiliary), 1)},
	}
}

// descriptorLimit returns the limit on the descriptors of this process.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > settings.MaxDescriptors {
		return settings.MaxDescriptors
	}
	return int(limit.Cur)
}

// refusals counts and logs the connections that the host closes.
type refusals struct {
	meter      *meter.Meter
	log        *slog.Logger
	logLimiter intake.LogLimiter
}

func (r *refusals) connectionClosed(cause intake.Cause, address string) {
	r.meter.ConnectionClosed(string(cause))
	if omitted, ok := r.logLimiter.Allow(string(cause), time.Now()); ok {
		r.log.Info("ingress: connection closed", "cause", string(cause), "address", address, "omitted", omitted)
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
	return ingresshttp.ConnectionOptions{ConnectionOptions: h.bounds.callers, Closed: h.refusals.connectionClosed}
}

// serveAuxiliary serves one of the other listeners. When no descriptor is left, callers
// give up idle connections, too.
func (h *Host) serveAuxiliary(ln net.Listener, handle fasthttp.RequestHandler) error {
	return ingresshttp.NewAuxiliaryServer(ingresshttp.ConnectionOptions{
		ConnectionOptions: h.bounds.auxiliary, Closed: h.refusals.connectionClosed, Exhausted: h.callerServer.CloseIdle,
	}, h.log, handle).Serve(ln)
}
