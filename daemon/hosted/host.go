package hosted

import (
	"context"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"

	"bulrushshed/forward"
	"bulrushshed/ingress"
	"bulrushshed/ingresshttp"
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
	engines  platform.Replicas
	table    atomic.Pointer[ingress.Table]
	fresh    *ingress.Freshness
	replicas *replica.List
	picker   *replica.Picker
	planner  *pipeline.Planner
	group    *group
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

// Wire returns an injector that makes a host of its settings.
func Wire(cfg settings.Host) do.Injector {
	i := do.New()
	do.ProvideValue(i, cfg)
	do.Provide(i, newHost)
	return i
}

func newHost(i do.Injector) (*Host, error) {
	cfg := do.MustInvoke[settings.Host](i)
	lines := newLineWriter(os.Stdout)
	level := &slog.LevelVar{}
	h := &Host{
		cfg: cfg, lines: lines, level: level, log: newLogger(cfg, level, lines),
		store:    platform.NewStore(cfg.StoreAddress, storeTimeout),
		fresh:    ingress.NewFreshness(time.Duration(trustShare*float64(cfg.Revoke.D())), bootTime),
		replicas: replica.NewList(lapse),
		picker:   replica.NewPicker(cfg.FailureDomain),
		meter:    meter.New(maxCustomers, maxClasses),
	}
	h.group = newGroup(h)
	h.planner = pipeline.NewPlanner(pipeline.Options{FailureDomain: cfg.FailureDomain, Hosts: h.group.size})
	h.control = newController(h)
	h.callers = ingresshttp.NewServer(context.Background(), ingresshttp.Options{
		Read: platform.DecodeRequest, Passed: platform.Passed, Stopping: h.stopping.Load, Log: h.log,
	}, counted{h, forward.New(forward.Parts{
		Tables: h, Replicas: h.replicas, Picker: h.picker, Planner: h.planner, Pulse: pipeline.NewPulse(), Upstream: h.engines,
		Budget: forward.NewBudget(forward.BudgetOptions{
			Ratio: cfg.RetryRatio * budgetShare, Extra: cfg.RetryExtra * budgetShare, Window: cfg.RetryWindow.D(), Hosts: h.group.size,
		}),
		Counter: h.meter, Log: h.log,
	})})
	h.gauges()
	return h, nil
}

// budgetShare is the part of the budget for repeats that is used; the rest is
// for hosts whose views of the group differ.
const budgetShare = 0.8

func newLogger(cfg settings.Host, level *slog.LevelVar, w *lineWriter) *slog.Logger {
	setLevel(level, cfg)
	opts := &slog.HandlerOptions{Level: level}
	if cfg.Log.Format == "text" {
		return slog.New(slog.NewTextHandler(w, opts)).With("host", cfg.Name)
	}
	return slog.New(slog.NewJSONHandler(w, opts)).With("host", cfg.Name)
}

func setLevel(level *slog.LevelVar, cfg settings.Host) {
	var l slog.Level
	// The settings were checked, so the level is one that slog knows.
	_ = l.UnmarshalText([]byte(cfg.Log.Level))
	level.Set(l)
}

// Reload takes the settings that can change while the host runs: the level of
// the log. It logs which others have changed and wait for a restart.
func (h *Host) Reload(cfg settings.Host, err error) {
	if err != nil {
		h.log.Error("host: settings not reloaded", "cause", err.Error())
		return
	}
	setLevel(h.level, cfg)
	rest := cfg
	rest.Log.Level = h.cfg.Log.Level
	h.log.Info("host: settings reloaded", "level", cfg.Log.Level, "restart_needed", rest != h.cfg)
}

func (h *Host) gauges() {
	h.meter.Gauge("bulrushshed_config_version", func() float64 {
		if t := h.table.Load(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
	h.meter.Gauge("bulrushshed_config_age_seconds", func() float64 {
		_, age := h.fresh.Fresh()
		return age.Seconds()
	})
	h.meter.Gauge("bulrushshed_requests", func() float64 { return float64(h.present.Load()) })
	h.meter.Gauge("bulrushshed_hosts", func() float64 { return float64(h.group.size()) })
	h.meter.Gauge("bulrushshed_log_lines_dropped", func() float64 { return float64(h.lines.dropped.Load()) })
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
		h.follow(work, h.configFollower()),
		h.follow(work, h.replicaFollower()),
		every(work, joinEvery, h.group.keep),
		every(work, controlEvery, h.control.turn),
		every(work, tidyEvery, h.tidy),
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

// drain leaves the group, serves callers that still hold this host's address,
// and then only what has begun, until that is done or the grace ends.
func (h *Host) drain() {
	began := time.Now()
	h.stopping.Store(true)
	h.log.Info("host: stopping", "requests", h.present.Load())
	left := h.group.leave()
	accepting := time.Duration(acceptShare * float64(h.cfg.Grace.D()))
	time.Sleep(accepting)
	h.closing.Store(true)
	if err := h.listener.Close(); err != nil {
		h.log.Warn("host: listener not closed", "cause", err.Error())
	}
	for h.present.Load() > 0 && time.Since(began) < h.cfg.Grace.D()-stopMargin {
		time.Sleep(pollStop)
	}
	<-left
	h.log.Info("host: drained", "requests_cut", h.present.Load(), "took_ms", time.Since(began).Milliseconds())
}

// every calls f at once and then each period until ctx ends.
func every(ctx context.Context, period time.Duration, f func(ctx context.Context)) <-chan error {
	done := make(chan error, 1)
	go func() {
		t := time.NewTicker(period)
		defer t.Stop()
		for ctx.Err() == nil {
			f(ctx)
			select {
			case <-t.C:
			case <-ctx.Done():
			}
		}
		done <- nil
	}()
	return done
}

// tidyEvery is the time between two looks for what is no longer needed.
const tidyEvery = 500 * time.Millisecond

// tidy ends the trust in entries that have been missing for too long.
func (h *Host) tidy(context.Context) {
	if h.replicas.Lapsing() {
		h.replicas.Expire(time.Now())
	}
	h.picker.Keep(h.replicas.View())
}
