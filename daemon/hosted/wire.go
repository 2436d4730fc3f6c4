package hosted

import (
	"context"
	"crypto/tls"
	"log/slog"
	"os"
	"time"

	"github.com/samber/do/v2"

	"bulrushshed/forward"
	"bulrushshed/ingress"
	"bulrushshed/ingresshttp"
	"bulrushshed/keys"
	"bulrushshed/meter"
	"bulrushshed/pipeline"
	"bulrushshed/platform"
	"bulrushshed/replica"
	"bulrushshed/settings"
)

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
	level.Set(cfg.Log.SlogLevel())
	h := &Host{
		cfg: cfg, lines: lines, level: level, log: cfg.Log.Logger(lines, cfg.Name, level),
		store:    platform.NewStore(cfg.StoreAddress, storeTimeout),
		fresh:    ingress.NewFreshness(time.Duration(trustShare*float64(cfg.Revoke.D())), bootTime),
		replicas: replica.NewList(lapse),
		picker:   replica.NewPicker(cfg.FailureDomain),
		meter:    meter.New(maxCustomers, maxClasses),
	}
	own, err := newPinned(cfg.Name, h)
	if err != nil {
		return nil, err
	}
	h.group = newGroup(h, own.pin)
	if h.feeder, err = newFeeder(h, own); err != nil {
		return nil, err
	}
	h.planner = pipeline.NewPlanner(pipeline.Options{FailureDomain: cfg.FailureDomain, LocalHosts: h.group.near})
	h.control = newController(h)
	h.callers = ingresshttp.NewServer(context.Background(), ingresshttp.Options{
		DecodeHeader: platform.DecodeRequest, IsForwarded: platform.IsForwardedHeader, Stopping: h.stopping.Load, Log: h.log,
	}, counted{h, forward.New(forward.Dependencies{
		Tables: h, Replicas: h.replicas, Picker: h.picker, Planner: h.planner, Progress: pipeline.NewProgressTracker(), Upstream: h.engines,
		Budget: forward.NewBudget(forward.BudgetOptions{
			Ratio: cfg.RetryRatio * budgetShare, Extra: cfg.RetryExtra * budgetShare, Window: cfg.RetryWindow.D(), Hosts: h.group.size,
			StartedAt: time.Now(),
		}),
		Counter: h.meter, Log: h.log,
	})})
	h.gauges()
	return h, nil
}

// pinned is what this host shows to others.
type pinned struct {
	tls *tls.Config
	pin string
}

func newPinned(name string, h *Host) (p pinned, err error) {
	p.tls, p.pin, err = keys.Pinned(name, time.Now(), func(pin string) bool { return h.group.trusts(pin) })
	return p, err
}

// budgetShare is the part of the budget for repeats that is used; the rest is
// for hosts whose views of the group differ.
const budgetShare = 0.8

// Reload takes the settings that can change while the host runs: the level of
// the log. It logs which others have changed and wait for a restart.
func (h *Host) Reload(cfg settings.Host, err error) {
	if err != nil {
		h.log.Error("host: settings not reloaded", "cause", err.Error())
		return
	}
	h.level.Set(cfg.Log.SlogLevel())
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
