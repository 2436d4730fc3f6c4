package daemon

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

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
	"bulrushshed/ingresshttp"
	"bulrushshed/intake"
	"bulrushshed/loop"
	"bulrushshed/meter"
	"bulrushshed/operator"
	"bulrushshed/peer"
	"bulrushshed/platformhttp"
	"bulrushshed/publication"
	"bulrushshed/quarantine"
	"bulrushshed/ratelimit"
	"bulrushshed/relay"
	"bulrushshed/settings"
)

// Daemon is one entry host.
type Daemon struct {
	cfg  settings.Settings
	log  *slog.Logger
	self claim.Home
	tls  *tls.Config

	// directory holds the hosts and their state, and follower the rules and the
	// lease, which it reads from the platform's log.
	directory *directory.Directory
	follower  *publication.Follower
	// claims holds the idempotency keys whose calls run on this host, and journal
	// their outcomes until the log has acknowledged them. ledger finds the outcomes
	// that the other hosts have appended to the log.
	claims  *claim.Table
	journal *claim.Journal
	ledger  *claim.Ledger
	// gossipTable holds the items that this host gossips, and inflight its own work
	// on each endpoint.
	gossipTable *gossip.Table
	inflight    *balance.Inflight
	// quarantine tracks the parts of prompts that crash engines.
	quarantine *quarantine.Tracker
	// gate admits requests within this host's shares of the limits, and allocator
	// divides the limits that this host is responsible for among all entry hosts.
	gate         *admit.Gate
	allocator    *admit.Allocator
	meter        *meter.Meter
	platform     *platformhttp.Client
	dialer       *relay.Dialer
	connector    *relay.Connector
	engines      *enginehttp.Client
	callerServer *caller.Server
	canceller    *canceller
	// deliverer is set by newDeliverer, before Run starts anything.
	deliverer *delivery.Deliverer

	// requestMemory bounds the memory of callers' requests, and maxConnections their
	// connections.
	requestMemory  *intake.Ledger
	maxConnections int
	// reportClosed counts and logs a connection that the host closes.
	reportClosed func(cause intake.Cause, address string)

	limits  *ratelimit.Limits
	limiter *ratelimit.Limiter
	// peerNode is set by Run before its first use.
	peerNode *peer.Node
	// orderTracker holds the orders that this host sent under the last lease it
	// held, fence is the fencing token of that lease, and fenceSince the time at
	// which the control loop first saw it. Only the control loop uses them.
	orderTracker *control.Tracker
	fence        int64
	fenceSince   time.Time
	// demandEstimator smooths this host's demand per customer and pool. Only the
	// shareLimits loop uses it.
	demandEstimator *admit.DemandEstimator
	// pollRound counts the rounds of pollStatuses, which alone uses it.
	pollRound int
	// readTrigger ends the current delay between two reads of the log, if this
	// host is not a reader.
	readTrigger chan struct{}
	// joined is set once, when the host starts to serve callers. Before that the
	// host is not announced to the platform.
	joined atomic.Bool
	// requestCtx is the parent context of all requests, and interrupt ends it. They end by
	// their own deadlines or by the drain, and not when the signal to stop arrives.
	requestCtx context.Context
	interrupt  context.CancelFunc
	// draining is set once, when a graceful shutdown begins.
	draining atomic.Bool
	// closing is set once, when no further requests are accepted.
	closing atomic.Bool
	// listETag and listedHosts are the ETag and the hosts of the platform's host
	// list as last read, at listReadAt. Only the refreshHosts loop uses them.
	listETag    string
	listReadAt  time.Time
	listedHosts map[string]hostlog.Host
	// listFailure is the error of the last read of the host list, or "".
	listFailure atomic.Value
}

// ownHostRecord returns the entry for this host in the platform's host list.
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

// gcPercent is the heap growth, in percent, that triggers the next garbage collection. The
// Go default of 100 lets a host whose request memory is full grow to twice that.
const gcPercent = 50

// errServerEnded is the error of a server that ends before the shutdown.
var errServerEnded = errors.New("server ended")

// Run serves until stop is cancelled, and then shuts down gracefully. If one of the servers
// fails, it shuts down in the same way and returns the error. i is an injector returned by
// Wire.
func Run(stop context.Context, i do.Injector) error {
	d, err := do.Invoke[*Daemon](i)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	// workCtx outlives stop: the background loops run until the host has
	// drained.
	workCtx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	d.callerServer, err = do.Invoke[*caller.Server](i)
	if err != nil {
		return err
	}
	if err := d.listenPeers(); err != nil {
		return err
	}
	// At the end of a shutdown, connections are closed after their responses.
	servers := &servers{callers: d.callerServer.HTTPServer(d.closing.Load), failed: make(chan error, 2)}
	d.meter.Gauge("bulrushshed_connections", func() float64 { return float64(servers.callers.Connections()) })
	if err := d.serveOperators(servers); err != nil {
		return err
	}
	loops := d.startLoops(workCtx)
	d.join(stop)
	if err := d.serveCallers(servers); err != nil {
		return err
	}
	d.joined.Store(true)
	d.announceSelf(workCtx)
	d.log.Info("daemon: serving", "callers", d.cfg.CallerAddress, "operators", d.cfg.OperatorAddress,
		"peers", d.cfg.PeerAddress, "incarnation", d.self.Incarnation)
	var failure error
	select {
	case <-stop.Done():
	case err := <-servers.failed:
		failure = eris.Wrap(cmp.Or(err, errServerEnded), "serve")
		d.log.Error("daemon: a server failed, stopping", "cause", failure.Error())
	}
	d.drain(servers)
	cancel()
	// The log loop may be waiting for its next slow read.
	d.triggerRead()
	for _, done := range loops {
		if err := <-done; err != nil {
			d.log.Warn("daemon: background loop ended with an error", "cause", err.Error())
		}
	}
	d.log.Info("daemon: stopped")
	return failure
}

func (d *Daemon) listenPeers() error {
	node, err := peer.NewNode(peer.Options{
		Address: d.cfg.PeerAddress, DialTimeout: d.cfg.Times.Peer.D(), MaxBytes: maxPeerBytes, Relay: d.connector,
		Memory: max(int64(d.cfg.Limits.RequestMemoryMB)<<20/peerMemoryShare, minPeerMessages*maxPeerBytes),
	}, d.tls, d, d.log)
	d.peerNode = node
	return err
}

// maxPeerBytes limits the size of a message between entry hosts. The largest
// ones carry a rule file or a request body.
const maxPeerBytes = 8 << 20

const (
	// peerMemoryShare is the part of the memory of requests, as its reciprocal, that is
	// added for the messages from other hosts. Forwarded calls hold most of it.
	peerMemoryShare = 2
	// minPeerMessages is the least memory for messages, in those of the largest size, one
	// of which needs two buffers while it grows.
	minPeerMessages = 2
)

// servers holds the HTTP servers of a daemon, for callers and for operators.
type servers struct {
	callers        *ingresshttp.Server
	callerListener net.Listener
	// operatorListener accepts the connections of operators.
	operatorListener net.Listener
	// failed receives the error with which a server ends.
	failed chan error
}

func (d *Daemon) serveCallers(s *servers) error {
	ln, err := net.Listen("tcp", d.cfg.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	s.callerListener = callerListener{ln}
	go func() { s.failed <- s.callers.Serve(s.callerListener) }()
	return nil
}

// callerSendBufferBytes is the kernel's send buffer of a caller's connection. Without a
// limit it grows to megabytes, so that a caller who does not read holds up memory of the
// host instead of the engine that generates the answer.
const callerSendBufferBytes = 64 << 10

// callerListener limits the send buffers of the connections that it accepts.
type callerListener struct{ net.Listener }

// Accept waits for the next connection and returns it.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if c, ok := conn.(*net.TCPConn); ok {
		// It fails only if the connection has ended, which the first read reports.
		_ = c.SetWriteBuffer(callerSendBufferBytes)
	}
	return conn, nil
}

func (d *Daemon) serveOperators(s *servers) error {
	ln, err := operator.Listen(d.cfg.OperatorAddress, d.tls, d.cfg.OperatorTLS)
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	s.operatorListener = ln
	server := operator.NewServer(d, ingresshttp.ConnectionOptions{
		ConnectionOptions: intake.ConnectionOptions{Max: maxOperatorConnections()}, Closed: d.reportClosed,
		// When no descriptor is left, callers give up idle connections.
		Exhausted: s.callers.CloseIdle,
	}, d.log)
	go func() { s.failed <- server.Serve(ln) }()
	return nil
}

// startLoops starts the background loops. Each returned channel receives the
// loop's error, or nil, when the loop has ended.
func (d *Daemon) startLoops(ctx context.Context) []<-chan error {
	return []<-chan error{
		d.peerNode.Serve(ctx),
		d.follower.Run(ctx, throttledLog{d}, d),
		d.canceller.start(ctx),
		loop.Every(ctx, d.cfg.Times.HostsEvery.D(), d.refreshHosts),
		loop.Every(ctx, d.cfg.Times.HostsEvery.D(), d.announceSelf),
		loop.Every(ctx, d.cfg.Times.StatusEvery.D()/suspectPollFactor, d.pollStatuses),
		loop.Every(ctx, d.cfg.Times.GossipEvery.D(), d.runGossipRound),
		d.runJournal(ctx),
		loop.Every(ctx, leasePollInterval, d.maintainLease),
		loop.Every(ctx, d.cfg.Times.HostsEvery.D(), d.resizePools),
		loop.Every(ctx, shareInterval, d.shareLimits),
		loop.Every(ctx, controlInterval, d.control),
		loop.Every(ctx, d.cfg.Times.CheckpointEvery.D(), d.appendCheckpoint),
		loop.Every(ctx, eraBaseInterval, d.appendEraBase),
	}
}
