package hosted

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"

	"bulrushshed/ingress"
	"bulrushshed/ingresshttp"
	"bulrushshed/intake"
	"bulrushshed/loop"
	"bulrushshed/meter"
	"bulrushshed/pipeline"
	"bulrushshed/platform"
	"bulrushshed/quarantine"
	"bulrushshed/ratelimit"
	"bulrushshed/relay"
	"bulrushshed/replica"
	"bulrushshed/retrybudget"
	"bulrushshed/settings"
)

const (
	// storeTimeout bounds a call to the store that does not wait for changes.
	storeTimeout = 1200 * time.Millisecond
	// outageGracePeriod is how long replicas whose entries disappeared during a
	// store outage stay listed after its end.
	outageGracePeriod = 1900 * time.Millisecond
	// freshnessFraction is the fraction of settings.Host.Revoke, the time for which
	// a revoked API key may still be accepted, for which a confirmation of the
	// configuration is valid. The rest is left for requests in flight.
	freshnessFraction = 0.94
	// memoryLimitFraction is the fraction of settings.Host.MemoryMB that is set as
	// the Go runtime's memory limit. The garbage collector runs more often near
	// this limit.
	memoryLimitFraction = 0.6
	// gcPercent is the heap growth, in percent, that triggers the next garbage
	// collection.
	gcPercent = 200
	// maxCustomers and maxClasses limit the number of label values in metrics.
	maxCustomers = 100
	maxClasses   = 600
	// drainExitMargin is how long before the end of the grace period,
	// settings.Host.Grace, a stopping host stops waiting for requests in flight, and
	// drainAnswerTime how long it then waits until they are answered as interrupted.
	drainExitMargin = 350 * time.Millisecond
	drainAnswerTime = 150 * time.Millisecond
	// drainAcceptFraction is the fraction of the grace period in which a stopping
	// host accepts requests. Requests accepted later could not finish in time.
	drainAcceptFraction = 0.28
	// loopStopTimeout is how long the background loops may take to stop.
	loopStopTimeout = 100 * time.Millisecond
	// drainPollInterval is the interval of checks for requests in flight while
	// stopping.
	drainPollInterval = 50 * time.Millisecond
)

// Host is an entry host on the platform.
type Host struct {
	cfg       settings.Host
	log       *slog.Logger
	level     *slog.LevelVar
	logWriter *lineWriter

	store         *platform.Store
	era           *eraClock
	replicaClient platform.ReplicaClient
	table         atomic.Pointer[ingress.Table]
	applied       atomic.Pointer[appliedConfig]
	freshness     *ingress.Freshness
	replicas      *replica.List
	picker        *replica.Picker
	planner       *pipeline.Planner
	quarantine    *quarantine.Tracker
	findings      *findings
	limits        *ratelimit.Limits
	limiter       *ratelimit.Limiter
	retryAccounts *retrybudget.Accounts
	retries       *retrybudget.Budget
	group         *group
	serving       *servingHosts
	usage         *usageExchange
	feed          *feedRelay
	dialer        *relay.Dialer
	connector     *relay.Connector
	meter         *meter.Meter
	ledger        *intake.Ledger
	callerServer  *ingresshttp.Server
	bounds        connectionBounds
	// reportClosed counts and logs a connection that the host closes.
	reportClosed func(cause intake.Cause, address string)
	controller   *controller

	// replicasEra is the era of the store in which the replica list was last read. Only the
	// loop that follows the list uses it.
	replicasEra int64
	// configSkipped is set while the newest configuration is too large for this host.
	configSkipped atomic.Bool
	// configMu is held while a configuration replaces another one.
	configMu sync.Mutex
	// replicasKnown is set once the replica list has been read.
	replicasKnown atomic.Bool
	// stopping is set when a graceful stop begins, and never cleared.
	stopping atomic.Bool
	// closing is set when a stopping host no longer accepts requests, and never
	// cleared.
	closing atomic.Bool
	listen  Listen
	// listener accepts the connections of callers; serve sets it.
	listener net.Listener
	// requestCtx is the parent context of all requests, and interrupt ends it.
	requestCtx context.Context
	interrupt  context.CancelFunc
}

// Table implements forward.Tables. It returns no table until the replica list
// has been read, because requests could not be routed without it.
func (h *Host) Table() (t *ingress.Table, fresh bool) {
	if !h.replicasKnown.Load() {
		return nil, false
	}
	fresh, _ = h.freshness.Fresh()
	return h.table.Load(), fresh
}

// errServerEnded is the error of a server that ends although its listener was not closed
// by the host.
var errServerEnded = errors.New("server ended")

// Run serves until the stop context ends, and then stops gracefully. If one of the servers
// fails, the host stops in the same way, and Run returns the error. The injector must come
// from [Wire].
func Run(stop context.Context, i do.Injector) error {
	h, err := do.Invoke[*Host](i)
	if err != nil {
		return err
	}
	defer h.logWriter.close()
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(h.cfg.MemoryMB) * math.Pow(2, 20)))
	debug.SetGCPercent(gcPercent)
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	failed := make(chan error, 4)
	if err := h.serve(failed); err != nil {
		return err
	}
	loops := []<-chan error{
		h.feed.node.Serve(loopCtx),
		h.follow(loopCtx, h.configSubscription()),
		h.follow(loopCtx, h.replicaSubscription()),
		h.group.run(loopCtx),
		h.findings.run(loopCtx),
		h.usage.run(loopCtx),
		loop.Every(loopCtx, storeDelay, h.findings.store.write),
		loop.Every(loopCtx, catchUpInterval, h.catchUpConfig),
		loop.Every(loopCtx, controlInterval, h.controller.placeAll),
		loop.Every(loopCtx, cleanupInterval, h.cleanUp),
		loop.Every(loopCtx, loadInterval, h.serving.report),
	}
	h.log.Info("host: serving", "callers", h.cfg.CallerAddress, "store", h.cfg.StoreAddress, "domain", h.cfg.FailureDomain)
	var failure error
	select {
	case <-stop.Done():
	case err := <-failed:
		failure = eris.Wrap(err, "serve")
		h.log.Error("host: a server failed, stopping", "cause", err.Error())
	}
	h.drain()
	h.usage.sendLast()
	cancel()
	h.awaitLoops(loops)
	h.log.Info("host: stopped")
	return failure
}

// awaitLoops waits for the background loops to stop, for at most
// loopStopTimeout. A long poll that the store still holds is abandoned.
func (h *Host) awaitLoops(loops []<-chan error) {
	timeout := time.After(loopStopTimeout)
	for _, done := range loops {
		select {
		case err := <-done:
			if err != nil {
				h.log.Warn("host: background loop failed", "cause", err.Error())
			}
		case <-timeout:
			return
		}
	}
}

// serve starts servers on all addresses. A server that ends before the host
// closes its listener sends its error to failed.
func (h *Host) serve(failed chan<- error) error {
	for _, s := range []struct {
		address string
		serve   func(net.Listener) error
	}{
		{h.cfg.DirectoryAddress, h.serveDirectory},
		{h.cfg.ReadyAddress, h.serveReady},
		{h.cfg.MetricsAddress, h.serveMetrics},
		{h.cfg.CallerAddress, h.callerServer.Serve},
	} {
		ln, err := h.listen("tcp", s.address)
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		if s.address == h.cfg.CallerAddress {
			h.listener = ln
		}
		go func() {
			err := s.serve(ln)
			if !h.closing.Load() {
				failed <- cmp.Or(err, errServerEnded)
			}
		}()
	}
	return nil
}

// cleanupInterval is the interval at which outdated replica state is removed.
const cleanupInterval = 500 * time.Millisecond

// cleanUp removes replicas whose grace period has ended, and the picker's state
// of replicas that are no longer listed.
func (h *Host) cleanUp(context.Context) {
	if h.replicas.HasEntriesInGrace() {
		h.replicas.Expire(time.Now())
	}
	h.picker.RemoveUnlisted(h.replicas.View())
}
