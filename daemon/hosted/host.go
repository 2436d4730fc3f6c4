package hosted

import (
	"context"
	"log/slog"
	"math"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"

	"bulrushshed/ingress"
	"bulrushshed/ingresshttp"
	"bulrushshed/loop"
	"bulrushshed/meter"
	"bulrushshed/pipeline"
	"bulrushshed/platform"
	"bulrushshed/replica"
	"bulrushshed/settings"
)

const (
	// storeTimeout bounds a call to the store that does not wait for news.
	storeTimeout = 1200 * time.Millisecond
	// lapse is how long entries that went missing in an outage of the store
	// are trusted behind its end.
	lapse = 1900 * time.Millisecond
	// trustShare is the share of the time to revoke a key for which a proof
	// of fresh configuration holds; the rest is for requests on their way.
	trustShare = 0.94
	// memoryShare is the share of the machine's memory that the heap may take
	// before the collector works harder.
	memoryShare = 0.6
	// collectorPercent is how much the heap grows between two collections.
	collectorPercent = 200
	// maxCustomers and maxClasses bound the labels of metrics.
	maxCustomers = 100
	maxClasses   = 600
	// stopMargin is left of the grace when a stopping host ends.
	stopMargin = 350 * time.Millisecond
	// acceptShare is the share of the grace in which a stopping host still
	// takes requests; those behind it could not end in time.
	acceptShare = 0.28
	// endWait is how long the loops may take to end.
	endWait = 100 * time.Millisecond
	// pollStop is the time between two looks for requests in progress.
	pollStop = 50 * time.Millisecond
)

// Host is one entry host on the platform.
type Host struct {
	cfg   settings.Host
	log   *slog.Logger
	level *slog.LevelVar
	lines *lineWriter

	store    *platform.Store
	engines  platform.ReplicaClient
	table    atomic.Pointer[ingress.Table]
	fresh    *ingress.Freshness
	replicas *replica.List
	picker   *replica.Picker
	planner  *pipeline.Planner
	group    *group
	feeder   *feeder
	meter    *meter.Meter
	callers  *ingresshttp.Server
	control  *controller

	// listed is set once the list of replicas has been read.
	listed atomic.Bool
	// present counts requests that are being served.
	present atomic.Int64
	// stopping is set once, when a graceful stop begins.
	stopping atomic.Bool
	// closing is set once, when a stopping host takes no more requests.
	closing atomic.Bool
	// listener is where callers connect; serve sets it.
	listener net.Listener
}

// Table implements forward.Tables. Without a list of replicas a configuration is
// of no use.
func (h *Host) Table() (t *ingress.Table, fresh bool) {
	if !h.listed.Load() {
		return nil, false
	}
	fresh, _ = h.fresh.Fresh()
	return h.table.Load(), fresh
}

// Run serves until stop ends, and then stops gracefully. The injector holds
// what Wire provided.
func Run(stop context.Context, i do.Injector) error {
	h, err := do.Invoke[*Host](i)
	if err != nil {
		return err
	}
	defer h.lines.flush()
	debug.SetMemoryLimit(int64(memoryShare * float64(h.cfg.MemoryMB) * math.Pow(2, 20)))
	debug.SetGCPercent(collectorPercent)
	work, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	failed := make(chan error, 4)
	if err := h.serve(failed); err != nil {
		return err
	}
	loops := []<-chan error{
		h.feeder.node.Serve(work),
		h.follow(work, h.configFollower()),
		h.follow(work, h.replicaFollower()),
		h.group.run(work),
		loop.Every(work, controlEvery, h.control.turn),
		loop.Every(work, tidyEvery, h.tidy),
	}
	h.log.Info("host: serving", "callers", h.cfg.CallerAddress, "store", h.cfg.StoreAddress, "domain", h.cfg.FailureDomain)
	select {
	case <-stop.Done():
	case err := <-failed:
		return eris.Wrap(err, "serve")
	}
	h.drain()
	cancel()
	h.await(loops)
	h.log.Info("host: stopped")
	return nil
}

// await waits for loops to end, but not for calls that the store holds.
func (h *Host) await(loops []<-chan error) {
	late := time.After(endWait)
	for _, done := range loops {
		select {
		case err := <-done:
			if err != nil {
				h.log.Warn("host: loop failed", "cause", err.Error())
			}
		case <-late:
			return
		}
	}
}

// serve opens all addresses; failed carries the end of each server.
func (h *Host) serve(failed chan<- error) error {
	for _, s := range []struct {
		address string
		serve   func(net.Listener) error
	}{
		{h.cfg.DirectoryAddress, h.serveDirectory},
		{h.cfg.ReadyAddress, h.serveReady},
		{h.cfg.MetricsAddress, h.serveMetrics},
		{h.cfg.CallerAddress, h.callers.Serve},
	} {
		ln, err := net.Listen("tcp", s.address)
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		if s.address == h.cfg.CallerAddress {
			h.listener = ln
		}
		go func() {
			err := s.serve(ln)
			if !h.closing.Load() {
				failed <- err
			}
		}()
	}
	return nil
}

// tidyEvery is the time between two looks for what is no longer needed.
const tidyEvery = 500 * time.Millisecond

// tidy ends the trust in entries that have been missing for too long.
func (h *Host) tidy(context.Context) {
	if h.replicas.HasEntriesInGrace() {
		h.replicas.Expire(time.Now())
	}
	h.picker.RemoveUnlisted(h.replicas.View())
}
