package hosted

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"github.com/samber/do/v2"

	"bulrushshed/accept"
	"bulrushshed/forward"
	"bulrushshed/ingress"
	"bulrushshed/ingresshttp"
	"bulrushshed/intake"
	"bulrushshed/keys"
	"bulrushshed/meter"
	"bulrushshed/pipeline"
	"bulrushshed/platform"
	"bulrushshed/quarantine"
	"bulrushshed/ratelimit"
	"bulrushshed/relay"
	"bulrushshed/replica"
	"bulrushshed/replicahttp"
	"bulrushshed/retrybudget"
	"bulrushshed/settings"
)

// DirectDial opens the connections of a host to replicas.
type DirectDial replicahttp.Dial

// Listen opens the listeners of a host.
type Listen func(network, address string) (net.Listener, error)

// Wire returns an injector that provides a [Host] with the given settings.
func Wire(cfg settings.Host) do.Injector {
	i := do.New()
	do.ProvideValue(i, cfg)
	do.ProvideValue(i, DirectDial(replicahttp.DialDirect))
	do.ProvideValue(i, Listen(net.Listen))
	do.Provide(i, newHost)
	return i
}

func newHost(i do.Injector) (*Host, error) {
	cfg := do.MustInvoke[settings.Host](i)
	lines := newLineWriter(os.Stdout)
	level := &slog.LevelVar{}
	level.Set(cfg.Log.SlogLevel())
	h := &Host{
		cfg: cfg, logWriter: lines, level: level, log: cfg.Log.Logger(lines, cfg.Name, level),
		era:       newEraClock(bootTime),
		freshness: ingress.NewFreshness(time.Duration(freshnessFraction*float64(cfg.Revoke.D())), bootTime),
		replicas:  replica.NewList(outageGracePeriod),
		picker:    replica.NewPicker(cfg.FailureDomain),
		meter:     meter.New(maxCustomers, maxClasses),
		listen:    do.MustInvoke[Listen](i),
		bounds:    newConnectionBounds(cfg, accept.DescriptorLimit(settings.MaxDescriptors)),
	}
	// Requests end by their own deadlines or at the end of the grace period.
	h.requestCtx, h.interrupt = context.WithCancel(context.Background())
	h.reportClosed = ingresshttp.ReportClosed(h.meter, h.log)
	h.store = platform.NewStore(platform.StoreOptions{
		Address: cfg.StoreAddress, Timeout: storeTimeout, MaxRecordBytes: maxRecordBytes(cfg), ObserveEra: h.observeEra,
	})
	identity, err := newPeerIdentity(cfg.Name, h)
	if err != nil {
		return nil, err
	}
	h.group = newGroup(h, identity.pin)
	h.serving = newServingHosts(h)
	h.retryAccounts = retrybudget.NewAccounts(retrybudget.Options{
		Ratio: cfg.RetryRatio, Extra: cfg.RetryExtra, Window: cfg.RetryWindow.D(), Self: cfg.CallerAddress,
	})
	h.retries = retrybudget.NewBudget(h.retryAccounts, lenders{h}, bootTime, h.meter, h.log)
	h.dialer = newDialer(h, do.MustInvoke[DirectDial](i))
	h.connector = relay.NewConnector(h.dialer, h.acceptsRelayed)
	if h.feed, err = newFeedRelay(h, identity); err != nil {
		return nil, err
	}
	h.usage = newUsageExchange(h)
	h.planner = pipeline.NewPlanner(pipeline.Options{
		FailureDomain: cfg.FailureDomain, LocalHosts: h.serving.localSize, Others: h.usage.table, Changed: h.usage.signal,
	})
	h.controller = newController(h)
	h.findings = newFindings(h)
	h.quarantine = quarantine.New(quarantine.Options{
		UnprovenCrashLimit: unprovenCrashLimit, HoldDelay: rand.N(maxHoldDelay), Publish: h.findings.publish, Log: h.log,
	})
	h.limits = ratelimit.NewLimits(h.publishItem, h.log)
	h.limiter = ratelimit.NewLimiter(h.limits, limitHosts{h}, h.log)
	h.replicaClient = platform.ReplicaClient{States: replicaStates{h}, Dial: h.dialer.Dial}
	h.ledger = intake.NewLedger(cfg.RequestMemoryBytes())
	h.callerServer = newCallerServer(h)
	h.registerGauges()
	return h, nil
}

// newCallerServer returns the server for callers, whose requests the host forwards.
func newCallerServer(h *Host) *ingresshttp.Server {
	next := stoppingForwarder{h, forward.New(forward.Dependencies{
		Tables: h, Replicas: h.replicas, Picker: h.picker, Planner: h.planner, Progress: h.usage.progress, Upstream: h.replicaClient,
		Limiter:    h.limiter,
		Findings:   h.usage,
		Links:      h.dialer,
		Quarantine: h.quarantine, FindingsKnown: h.findings.known,
		Budget:  h.retries,
		Counter: h.meter, Log: h.log,
	})}
	return ingresshttp.NewServer(h.requestCtx, ingresshttp.Options{
		DecodeHeader: platform.DecodeRequest, Screen: next.Screen, IsForwarded: platform.IsForwardedHeader, Stopping: h.stopping.Load,
		Ledger: h.ledger, BodyPace: intake.Pace{Grace: h.cfg.BodyGrace.D(), BytesPerSecond: h.cfg.BodyBytesPerSecond}, CountRefusal: h.meter.Refused,
		Limits: h.callerLimits, Connections: h.callerConnections(),
		Log: h.log,
	}, next)
}

// peerIdentity is how this host authenticates itself to other hosts. pin
// identifies its certificate.
type peerIdentity struct {
	tls *tls.Config
	pin string
}

func newPeerIdentity(name string, h *Host) (p peerIdentity, err error) {
	p.tls, p.pin, err = keys.Pinned(name, time.Now(), func(pin string) bool { return h.group.hasPin(pin) })
	return p, err
}

// maxHoldDelay bounds the random time by which this host prolongs holds.
const maxHoldDelay = time.Second

// unprovenCrashLimit is the number of engines that may crash under a prompt part without
// a good record before requests with the part are refused.
const unprovenCrashLimit = 1

// Reload applies the settings that can change at run time, which is only the
// log level. It logs whether other settings have changed, which take effect
// after a restart.
func (h *Host) Reload(cfg settings.Host, err error) {
	if err != nil {
		h.log.Error("host: reloading the settings failed", "cause", err.Error())
		return
	}
	h.level.Set(cfg.Log.SlogLevel())
	withOldLevel := cfg
	withOldLevel.Log.Level = h.cfg.Log.Level
	h.log.Info("host: settings reloaded", "level", cfg.Log.Level, "restart_needed", withOldLevel != h.cfg)
}

func (h *Host) registerGauges() {
	h.meter.Gauge("bulrushshed_config_version", func() float64 {
		if t := h.table.Load(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
	h.meter.Gauge("bulrushshed_config_age_seconds", func() float64 {
		_, age := h.freshness.Fresh()
		return age.Seconds()
	})
	h.meter.Gauge("bulrushshed_requests", func() float64 { return float64(h.callerServer.Active()) })
	h.meter.Gauge("bulrushshed_request_memory_bytes", func() float64 { return float64(h.ledger.Stats().Reserved) })
	h.meter.Gauge("bulrushshed_request_memory_capacity_bytes", func() float64 { return float64(h.ledger.Stats().Capacity) })
	h.meter.Gauge("bulrushshed_requests_evicted", func() float64 { return float64(h.ledger.Stats().Evicted) })
	h.meter.Gauge("bulrushshed_connections", func() float64 { return float64(h.callerServer.Connections()) })
	h.meter.Gauge("bulrushshed_connections_max", func() float64 { return float64(h.bounds.callers.Max) })
	h.meter.Gauge("bulrushshed_serving_hosts", func() float64 { return float64(len(h.serving.all())) })
	h.meter.Gauge("bulrushshed_usage_hosts", func() float64 { return float64(len(h.usage.table.RecentHosts(time.Now()))) })
	h.meter.Gauge("bulrushshed_hosts", func() float64 { return float64(h.group.size()) })
	h.meter.Gauge("bulrushshed_quarantined_features", func() float64 { return float64(h.quarantine.Held(time.Now())) })
	h.meter.Gauge("bulrushshed_limited_replicas", func() float64 { return float64(h.limits.Len(time.Now())) })
	h.meter.Gauge("bulrushshed_retry_tokens", func() float64 { return h.retryAccounts.Tokens(bootTime()) })
	h.meter.Gauge("bulrushshed_retry_hosts", func() float64 { return float64(h.retryAccounts.Hosts(bootTime())) })
	h.meter.Gauge("bulrushshed_links_down", func() float64 { return float64(h.dialer.CountDown()) })
	h.meter.Gauge("bulrushshed_relayed_connections", func() float64 { return float64(h.connector.Relayed()) })
	h.meter.Gauge("bulrushshed_log_lines_dropped", func() float64 { return float64(h.logWriter.dropped.Load()) })
}
