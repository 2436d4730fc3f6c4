package daemon

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"time"

	"github.com/samber/do/v2"

	"bulrushshed/accept"
	"bulrushshed/admit"
	"bulrushshed/balance"
	"bulrushshed/caller"
	"bulrushshed/claim"
	"bulrushshed/completion"
	"bulrushshed/delivery"
	"bulrushshed/directory"
	"bulrushshed/enginehttp"
	"bulrushshed/gossip"
	"bulrushshed/ingresshttp"
	"bulrushshed/intake"
	"bulrushshed/jsonhttp"
	"bulrushshed/keys"
	"bulrushshed/lease"
	"bulrushshed/meter"
	"bulrushshed/platformhttp"
	"bulrushshed/publication"
	"bulrushshed/quarantine"
	"bulrushshed/ratelimit"
	"bulrushshed/relay"
	"bulrushshed/route"
	"bulrushshed/servicehttp"
	"bulrushshed/settings"
)

const (
	// maxCustomers and maxClasses limit the number of label values in the metrics.
	maxCustomers = 6000
	maxClasses   = 100

	// operatorFraction is the fraction of the descriptors for sockets that the connections of
	// operators may use, and operatorConnections an upper bound.
	operatorFraction    = 0.1
	operatorConnections = 256

	// minRequestMemory is the least memory of requests, in bodies of the largest size: the
	// last two buffers of such a body, and what is reserved for small requests.
	minRequestMemory = 3

	// firstTokenWait is how long a stream waits for its first token before its HTTP
	// status is sent without it.
	firstTokenWait = 2 * time.Second

	// maxExchangeBytes limits the size of the items in one gossip exchange. A host
	// sends each item on retransmitFactor times the logarithm of the number of
	// hosts.
	maxExchangeBytes = 16 << 10
	retransmitFactor = 2

	// unprovenCrashLimit is the number of engines that may crash under a prompt of which
	// no part has a good record. As most prompts have parts of their own, a request
	// survives the crash of one engine.
	unprovenCrashLimit = 2

	// maxHoldDelay bounds the random time by which this host prolongs holds.
	maxHoldDelay = time.Second

	// logReadLimit is the maximum number of records per read of the log.
	logReadLimit  = 200
	logReadWait   = time.Second
	logRetryDelay = 200 * time.Millisecond

	// routeRetryInterval is the time between two searches for a route.
	routeRetryInterval = 50 * time.Millisecond

	// sameDomainCost and crossDomainCost are the times to send one token's
	// activations to an endpoint in the same or in another failure domain.
	sameDomainCost  = 100 * time.Microsecond
	crossDomainCost = 500 * time.Microsecond

	// prefillRatio is the time to prefill a token divided by the time to decode
	// one.
	prefillRatio = 0.05
)

// Wire returns an injector that builds a daemon and its parts from the settings.
func Wire(cfg settings.Settings) do.Injector {
	i := do.New()
	do.ProvideValue(i, cfg)
	do.ProvideValue(i, DirectDial(jsonhttp.DialDirect))
	do.Provide(i, newLogger)
	do.Provide(i, newDaemon)
	do.Provide(i, newCompletionRunner)
	do.Provide(i, newDeliverer)
	do.Provide(i, newCallerServer)
	return i
}

func newLogger(i do.Injector) (*slog.Logger, error) {
	cfg := do.MustInvoke[settings.Settings](i)
	return cfg.Log.Logger(os.Stderr, cfg.Name, cfg.Log.SlogLevel()), nil
}

func newDaemon(i do.Injector) (*Daemon, error) {
	cfg := do.MustInvoke[settings.Settings](i)
	log := do.MustInvoke[*slog.Logger](i)
	pair, err := keys.Load(cfg.TLS.CAFile, cfg.TLS.CertFile, cfg.TLS.KeyFile)
	if err != nil {
		return nil, err
	}
	t := cfg.Times
	d := &Daemon{
		cfg: cfg, log: log,
		self: claim.Home{Host: cfg.Name, Incarnation: time.Now().UnixMicro()},
		tls:  keys.RequireRole(pair, keys.RoleHost),
		directory: directory.New(directory.Options{
			StatusTTL: t.StatusTTL.D(), SuspectTTL: t.SuspectTTL.D(),
			Costs: route.Costs{SameDomain: sameDomainCost, CrossDomain: crossDomainCost, PrefillRatio: prefillRatio},
		}),
		claims: claim.NewTable(claim.Options{
			KeyTTL: t.KeyTTL.D(), Capacity: cfg.Limits.Keys, MaxAnswerBytes: cfg.Limits.KeptAnswerBytes,
		}),
		gossipTable:     gossip.NewTable(gossip.Options{Self: cfg.Name, MaxBytes: maxExchangeBytes, RetransmitFactor: retransmitFactor}),
		inflight:        balance.NewInflight(),
		readTrigger:     make(chan struct{}, 1),
		gate:            admit.NewGate(),
		allocator:       admit.NewAllocator(shareTTL),
		demandEstimator: admit.NewDemandEstimator(),
		meter:           meter.New(maxCustomers, maxClasses),
		maxConnections:  cmp.Or(cfg.Limits.Connections, defaultMaxConnections()),
		requestMemory:   intake.NewLedger(max(cfg.Limits.RequestMemoryMB<<20, minRequestMemory*cfg.Limits.BodyBytes)),
		platform:        platformhttp.NewClient(cfg.PlatformURL, t.Platform.D()),
	}
	d.requestCtx, d.interrupt = context.WithCancel(context.Background())
	d.reportClosed = ingresshttp.ReportClosed(d.meter, log)
	d.dialer = newDialer(d, do.MustInvoke[DirectDial](i))
	d.connector = relay.NewConnector(d.dialer, d.isEndpoint)
	d.limits = ratelimit.NewLimits(d.gossipLimit, log)
	d.limiter = ratelimit.NewLimiter(d.limits, limitHosts{d}, log)
	d.engines = enginehttp.NewClient(t.Peer.D(), d.limits, d.dialer.Dial)
	d.journal = claim.NewJournal(d.self, maxBatchOutcomes, maxJournalAnswerBytes)
	d.ledger = claim.NewLedger(t.KeyTTL.D())
	d.canceller = newCanceller(d.engines, log)
	d.follower = publication.NewFollower(
		publication.Options{
			Limit: logReadLimit, Wait: logReadWait, RetryDelay: logRetryDelay, Self: d.leaseHolderName(),
			Lease: lease.Options{Term: t.LeaseTerm.D(), Margin: t.LeaseMargin.D(), Renew: t.LeaseRenew.D()},
		}, d.gossipRules, log)
	d.quarantine = quarantine.New(quarantine.Options{
		UnprovenCrashLimit: unprovenCrashLimit, HoldDelay: rand.N(maxHoldDelay), Publish: d.gossipFinding, Log: log,
	})
	d.registerGauges()
	return d, nil
}

// socketLimit returns the number of descriptors that the process may use for sockets.
func socketLimit() int {
	return accept.DescriptorLimit(settings.MaxDescriptors) - accept.FileDescriptors
}

// defaultMaxConnections returns the bound on callers' connections that the descriptors of
// the process permit. Their memory is bounded by that of requests.
func defaultMaxConnections() int { return intake.DefaultMaxConnections(socketLimit(), math.MaxInt64) }

// maxOperatorConnections returns the bound on the connections of operators.
func maxOperatorConnections() int {
	return max(min(int(operatorFraction*float64(socketLimit())), operatorConnections), 1)
}

func (d *Daemon) registerGauges() {
	d.meter.Gauge("bulrushshed_rule_version", func() float64 { return float64(d.follower.Current().Version) })
	d.meter.Gauge("bulrushshed_requests", func() float64 { return float64(d.gate.ActiveRequests()) })
	d.meter.Gauge("bulrushshed_request_memory_bytes", func() float64 { return float64(d.requestMemory.Stats().Reserved) })
	d.meter.Gauge("bulrushshed_request_memory_capacity_bytes", func() float64 { return float64(d.requestMemory.Stats().Capacity) })
	d.meter.Gauge("bulrushshed_requests_evicted", func() float64 { return float64(d.requestMemory.Stats().Evicted) })
	d.meter.Gauge("bulrushshed_connections_max", func() float64 { return float64(d.maxConnections) })
	d.meter.Gauge("bulrushshed_claims", func() float64 { return float64(d.claims.Len()) })
	d.meter.Gauge("bulrushshed_waiting", func() float64 { return float64(d.gate.Waiting()) })
	d.meter.Gauge("bulrushshed_journal_pending", func() float64 { return float64(d.journal.Pending()) })
	d.meter.Gauge("bulrushshed_lease_held", func() float64 {
		if _, ok := d.follower.Holds(time.Now()); ok {
			return 1
		}
		return 0
	})
	d.meter.Gauge("bulrushshed_quarantined_features", func() float64 { return float64(d.quarantine.Held(time.Now())) })
	d.meter.Gauge("bulrushshed_limited_replicas", func() float64 { return float64(d.limits.Len(time.Now())) })
	d.meter.Gauge("bulrushshed_links_down", func() float64 { return float64(d.dialer.CountDown()) })
	d.meter.Gauge("bulrushshed_relayed_connections", func() float64 { return float64(d.connector.Relayed()) })
	d.meter.Gauge("bulrushshed_peer_bytes", func() float64 { return float64(d.peerNode.Bytes()) })
	d.meter.Gauge("bulrushshed_log_age_seconds", func() float64 { return time.Since(d.follower.State().LastRead).Seconds() })
}

func newCompletionRunner(i do.Injector) (*completion.Runner, error) {
	d := do.MustInvoke[*Daemon](i)
	t := d.cfg.Times
	return completion.NewRunner(completion.Options{
		FirstTokenTimeout: t.FirstGap.D(), TokenTimeout: t.TokenGap.D(), ProbeAfter: t.ProbeAfter.D(), ProbeTimeout: t.Probe.D(),
		MaxAttempts: d.cfg.Limits.Attempts, RouteRetryInterval: routeRetryInterval, RouteWait: t.RouteWait.D(),
	}, completion.Dependencies{
		Engines: d.engines, Planner: planner{d}, Quarantine: d.quarantine, Limiter: d.limiter, Canceller: d.canceller, Counter: d.meter, Log: d.log,
	}), nil
}

func newDeliverer(i do.Injector) (*delivery.Deliverer, error) {
	d := do.MustInvoke[*Daemon](i)
	deliverer := delivery.New(delivery.Options{
		Self: d.self, MaxAttempts: d.cfg.Limits.Attempts, PickWait: d.cfg.Times.RouteWait.D(),
	}, delivery.Dependencies{
		Services: servicehttp.NewClient(d.limits, d.dialer.Dial), Replicas: planner{d}, Limiter: d.limiter, Quarantine: d.quarantine, HomeClient: homeClient{d}, Table: d.claims,
		Journal: d.journal, Outcomes: outcomeLookup{d}, Gate: callGate{d}, Counter: d.meter, Log: d.log,
	})
	d.deliverer = deliverer
	return deliverer, nil
}

func newCallerServer(i do.Injector) (*caller.Server, error) {
	d := do.MustInvoke[*Daemon](i)
	l, t := d.cfg.Limits, d.cfg.Times
	return caller.NewServer(d.requestCtx, caller.Options{
		MaxBodyBytes: l.BodyBytes, MaxPromptBytes: l.PromptBytes, MaxTokens: l.Tokens, KeysPerFetch: l.KeysPerFetch,
		EntriesValid: t.EntriesValid.D(), FirstTokenWait: firstTokenWait, Ledger: d.requestMemory,
		HeaderTimeout: t.Read.D(), Connections: ingresshttp.ConnectionOptions{
			ConnectionOptions: intake.ConnectionOptions{Max: d.maxConnections}, Closed: d.reportClosed,
		},
	}, do.MustInvoke[*completion.Runner](i), do.MustInvoke[*delivery.Deliverer](i), streamGate{d.gate, d}, d.follower, planner{d}, d.meter, d.log), nil
}
