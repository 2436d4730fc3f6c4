package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"

	"bulrushshed/admit"
	"bulrushshed/balance"
	"bulrushshed/caller"
	"bulrushshed/claim"
	"bulrushshed/control"
	"bulrushshed/delivery"
	"bulrushshed/directory"
	"bulrushshed/enginehttp"
	"bulrushshed/gossip"
	"bulrushshed/hostlog"
	"bulrushshed/loop"
	"bulrushshed/meter"
	"bulrushshed/operator"
	"bulrushshed/peer"
	"bulrushshed/platformhttp"
	"bulrushshed/publication"
	"bulrushshed/settings"
)

// Daemon is one entry host.
type Daemon struct {
	cfg  settings.Settings
	log  *slog.Logger
	self claim.Home
	tls  *tls.Config

	directory *directory.Directory
	follower  *publication.Follower
	claims    *claim.Table
	journal   *claim.Journal
	ledger    *claim.Ledger
	items     *gossip.Table
	inflight  *balance.Inflight
	gate      *admit.Gate
	allocator *admit.Allocator
	meter     *meter.Meter
	platform  *platformhttp.Client
	engines   *enginehttp.Client
	callers   *caller.Server
	canceller *canceller
	// deliverer is set by newDeliverer, before Run starts anything.
	deliverer *delivery.Deliverer

	// node is set by Run before its first use.
	node *peer.Node
	// fence is the fencing token of the last lease that this host held,
	// fenceSince the time it was first seen, and orderTracker the orders given
	// under it. Only the control loop uses them.
	orderTracker *control.Tracker
	fence        int64
	fenceSince   time.Time
	// demandEstimator smooths this host's demand per customer and pool. Only the
	// shareLimits loop uses it.
	demandEstimator *admit.DemandEstimator
	// pollRound counts the rounds of pollStatuses, which alone uses it.
	pollRound int
	// readTrigger makes a host that reads the log rarely read it at once.
	readTrigger chan struct{}
	// joined is set once, when the host starts to serve callers.
	joined atomic.Bool
	// draining is set once, when a graceful shutdown begins.
	draining atomic.Bool
	// listETag is the ETag of the platform's host list as last read, at
	// listReadAt, and listedHosts the hosts on it. Only the refreshHosts loop
	// uses them.
	listETag    string
	listReadAt  time.Time
	listedHosts map[string]hostlog.Host
	// listFailure is the error of the last read of the host list, or "".
	listFailure atomic.Value
}

// ownHostRecord returns this host's entry in the platform's host list.
func (d *Daemon) ownHostRecord() hostlog.Host {
	state := hostlog.StateLive
	if d.draining.Load() {
		state = hostlog.StateLeaving
	}
	return hostlog.Host{
		Name: d.cfg.Name, Address: d.cfg.CallerAddress, Peer: d.cfg.PeerAddress, Role: hostlog.RoleEntry,
		FailureDomain: d.cfg.FailureDomain, State: state, Incarnation: d.self.Incarnation,
	}
}

// Run serves until stop is cancelled, and then shuts down gracefully. i is an
// injector returned by Wire.
func Run(stop context.Context, i do.Injector) error {
	d, err := do.Invoke[*Daemon](i)
	if err != nil {
		return err
	}
	// workCtx outlives stop: the background loops run until the host has
	// drained.
	workCtx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	d.callers, err = do.Invoke[*caller.Server](i)
	if err != nil {
		return err
	}
	if err := d.listenPeers(); err != nil {
		return err
	}
	servers := &servers{failed: make(chan error, 2)}
	if err := d.serveOperators(servers); err != nil {
		return err
	}
	loops := d.startLoops(workCtx)
	d.join(stop)
	if err := d.serveCallers(servers); err != nil {
		return err
	}
	d.joined.Store(true)
	d.announce(workCtx)
	d.log.Info("daemon: serving", "callers", d.cfg.CallerAddress, "operators", d.cfg.OperatorAddress,
		"peers", d.cfg.PeerAddress, "incarnation", d.self.Incarnation)
	select {
	case <-stop.Done():
	case err := <-servers.failed:
		return eris.Wrap(err, "serve")
	}
	d.drain(servers)
	cancel()
	d.triggerRead()
	for _, done := range loops {
		if err := <-done; err != nil {
			d.log.Warn("daemon: loop failed", "cause", err.Error())
		}
	}
	d.log.Info("daemon: stopped")
	return nil
}

func (d *Daemon) listenPeers() error {
	node, err := peer.NewNode(peer.Options{
		Address: d.cfg.PeerAddress, DialTimeout: d.cfg.Times.Peer.D(), MaxBytes: maxPeerBytes,
	}, d.tls, d, d.log)
	d.node = node
	return err
}

// maxPeerBytes limits the size of a message between entry hosts. The largest
// ones carry a rule file or a request body.
const maxPeerBytes = 8 << 20

// servers holds the HTTP servers of a daemon.
type servers struct {
	callers   *fiber.App
	operators *fiber.App
	// failed receives the error with which a server ends.
	failed chan error
}

var listenConfig = fiber.ListenConfig{DisableStartupMessage: true}

func (d *Daemon) serveCallers(s *servers) error {
	s.callers = d.callers.App()
	// After the shutdown has begun, responses on keep-alive connections ask the
	// caller to close the connection.
	s.callers.Server().CloseOnShutdown = true
	ln, err := net.Listen("tcp", d.cfg.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	go func() { s.failed <- s.callers.Listener(ln, listenConfig) }()
	return nil
}

func (d *Daemon) serveOperators(s *servers) error {
	s.operators = operator.NewApp(d)
	ln, err := operator.Listen(d.cfg.OperatorAddress, d.tls, d.cfg.OperatorTLS)
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	go func() { s.failed <- s.operators.Listener(ln, listenConfig) }()
	return nil
}

// startLoops starts the background loops. Each returned channel receives the
// loop's error when it ends.
func (d *Daemon) startLoops(ctx context.Context) []<-chan error {
	return []<-chan error{
		d.node.Serve(ctx),
		d.follower.Run(ctx, pacedLog{d}, d),
		d.canceller.start(ctx),
		loop.Every(ctx, d.cfg.Times.HostsEvery.D(), d.refreshHosts),
		loop.Every(ctx, d.cfg.Times.HostsEvery.D(), d.announce),
		loop.Every(ctx, d.cfg.Times.StatusEvery.D()/suspectPollFactor, d.pollStatuses),
		loop.Every(ctx, d.cfg.Times.GossipEvery.D(), d.exchange),
		d.runJournal(ctx),
		loop.Every(ctx, leasePollInterval, d.maintainLease),
		loop.Every(ctx, d.cfg.Times.HostsEvery.D(), d.resizePools),
		loop.Every(ctx, shareInterval, d.shareLimits),
		loop.Every(ctx, controlInterval, d.control),
		loop.Every(ctx, d.cfg.Times.CheckpointEvery.D(), d.appendCheckpoint),
	}
}
