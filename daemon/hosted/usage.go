package hosted

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"bulrushshed/forward"
	"bulrushshed/peer"
	"bulrushshed/pipeline"
	"bulrushshed/replica"
	"bulrushshed/usage"
)

const (
	// usageTimeout bounds the sending of one report. A report that arrives later is of
	// little use, as others have followed.
	usageTimeout = 500 * time.Millisecond
	// lastUsageTimeout bounds the sending of the last report of a stopping host.
	lastUsageTimeout = 100 * time.Millisecond
	// usageRetryInterval is how long no report is sent to a host that did not answer one. A
	// host that does not know this one as a member yet reads the members when it connects.
	usageRetryInterval = time.Second
	// unsupportedInterval is how long none is sent to a host whose build does not know
	// reports, as it logs each of them.
	unsupportedInterval = 30 * time.Second
	// ownEventWindow is the age up to which an event that passed through an engine shows
	// that it is not down. Streams whose events are later check the engine themselves.
	ownEventWindow = 150 * time.Millisecond
	// usageLogInterval is the least time between two log lines about findings.
	usageLogInterval = 100 * time.Millisecond
)

// usageExchange reports to the other hosts of the failure domain what this host uses of the
// engines and what it found out about them, and has their reports.
type usageExchange struct {
	host     *Host
	id       usage.HostID
	table    *usage.Table
	sender   *usage.Sender
	progress *pipeline.ProgressTracker
	// changed signals that a report may be due.
	changed chan struct{}
	// sends counts the reports that are being sent.
	sends sync.WaitGroup

	// sendMu is held while a report is made, so that none follows the last one.
	sendMu  sync.Mutex
	stopped bool

	mu sync.Mutex
	// sending has the hosts to which a report is being sent, and pausedUntil when those that
	// did not take one are tried again.
	sending     map[usage.HostID]bool
	pausedUntil map[usage.HostID]time.Time
	// loggedAt is when a finding was last logged, and omitted counts those since then.
	loggedAt time.Time
	omitted  int
}

var _ forward.Findings = (*usageExchange)(nil)

func newUsageExchange(h *Host) *usageExchange {
	id := usage.NewHostID(h.cfg.PeerAddress)
	return &usageExchange{
		host: h, id: id, table: usage.NewTable(), sender: usage.NewSender(id, time.Now()), progress: pipeline.NewProgressTracker(),
		changed: make(chan struct{}, 1), sending: map[usage.HostID]bool{}, pausedUntil: map[usage.HostID]time.Time{},
	}
}

// signal lets the loop decide again whether a report is due.
func (u *usageExchange) signal() {
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

// Find implements forward.Findings.
func (u *usageExchange) Find(e usage.EngineID, k usage.Kind, until, now time.Time) {
	if k == usage.Back && !u.table.Forget(e, usage.Down, now) && !u.sender.HasFound(e, usage.Down, now) {
		return
	}
	u.sender.Find(e, k, until, now)
	u.signal()
}

// run sends reports until ctx ends.
func (u *usageExchange) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		defer u.sends.Wait()
		timer := time.NewTimer(0)
		defer timer.Stop()
		for ctx.Err() == nil {
			select {
			case <-u.changed:
			case <-timer.C:
			case <-ctx.Done():
				return
			}
			u.report(ctx)
			timer.Reset(u.sender.Wait(time.Now()))
		}
	}()
	return done
}

// report sends a report if one is due.
func (u *usageExchange) report(ctx context.Context) {
	u.sendMu.Lock()
	defer u.sendMu.Unlock()
	if u.stopped {
		return
	}
	now := time.Now()
	peers, serving := u.peers(now)
	if r, ok := u.sender.Next(u.host.planner.Uses(), serving, lo.Map(peers, peerID), now); ok {
		u.send(ctx, r, peers, usageTimeout)
	}
}

// sendLast tells the other hosts that this host ends, and returns when they know or
// lastUsageTimeout has passed.
func (u *usageExchange) sendLast() {
	u.sendMu.Lock()
	defer u.sendMu.Unlock()
	u.stopped = true
	ctx, cancel := context.WithTimeout(context.Background(), lastUsageTimeout)
	defer cancel()
	if peers, _ := u.peers(time.Now()); u.sender.HasSent() {
		u.send(ctx, u.sender.Last(), peers, lastUsageTimeout)
		select {
		case <-u.allSent():
		case <-ctx.Done():
		}
	}
}

// allSent returns a channel that is closed once no report is being sent.
func (u *usageExchange) allSent() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		u.sends.Wait()
		close(done)
	}()
	return done
}

func peerID(p Peer, _ int) usage.HostID { return usage.NewHostID(p.PeerAddress) }

// peers returns the other hosts that serve callers of this failure domain or have reported
// recently, and reports whether this host serves callers.
func (u *usageExchange) peers(now time.Time) (peers []Peer, serving bool) {
	selected := u.host.serving.inDomain(u.host.cfg.FailureDomain)
	others := lo.Filter(selected, func(p Peer, _ int) bool { return p.PeerAddress != u.host.cfg.PeerAddress })
	u.table.SetServing(lo.Map(others, peerID))
	recent := u.table.RecentHosts(now)
	for _, p := range u.host.group.members() {
		id := peerID(p, 0)
		known := slices.ContainsFunc(others, func(o Peer) bool { return o.PeerAddress == p.PeerAddress })
		if id != u.id && !known && slices.Contains(recent, id) {
			others = append(others, p)
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	peers = lo.Filter(others, func(p Peer, _ int) bool { return !now.Before(u.pausedUntil[peerID(p, 0)]) })
	return peers, len(selected) > 0 && slices.ContainsFunc(selected, func(p Peer) bool { return p.PeerAddress == u.host.cfg.PeerAddress })
}

// send starts to send a report to each of the given hosts. One that still receives the
// report before gets none; the next complete one makes up for its uses, but its findings are lost
// to that host.
func (u *usageExchange) send(ctx context.Context, r usage.Report, peers []Peer, timeout time.Duration) {
	body := r.Encode()
	for _, p := range peers {
		if !u.begin(peerID(p, 0)) && !r.Last {
			continue
		}
		u.sends.Go(func() {
			defer u.end(peerID(p, 0))
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			u.host.meter.UsageReport("sent")
			u.host.meter.UsageBytes(len(body))
			reply, err := u.host.feed.node.Call(ctx, p.PeerAddress, peer.Message{Kind: peer.KindUsage, Usage: body})
			switch {
			case err != nil:
				u.host.log.Debug("usage: sending a report failed, retried later", "peer", p.Address, "cause", err.Error())
				u.pause(p, usageRetryInterval)
			case !reply.Usage:
				u.host.log.Info("usage: host does not know reports, no more sent for a while", "peer", p.Address, "for_s", unsupportedInterval.Seconds())
				u.pause(p, unsupportedInterval)
			}
		})
	}
}

func (u *usageExchange) begin(id usage.HostID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sending[id] {
		return false
	}
	u.sending[id] = true
	return true
}

func (u *usageExchange) end(id usage.HostID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.sending, id)
}

// pause stops sending to a host for a while. The next report to it is a complete one.
func (u *usageExchange) pause(p Peer, d time.Duration) {
	now := time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	maps.DeleteFunc(u.pausedUntil, func(_ usage.HostID, until time.Time) bool { return !now.Before(until) })
	u.pausedUntil[peerID(p, 0)] = now.Add(d)
}

// receive records the report of another host.
func (u *usageExchange) receive(body []byte) {
	r, err := usage.Decode(body)
	if err != nil {
		u.host.log.Debug("usage: report ignored", "cause", err.Error())
		return
	}
	if r.Host == u.id {
		return
	}
	u.host.meter.UsageReport("received")
	now := time.Now()
	for _, f := range u.table.Merge(r, now) {
		u.apply(r.Host, f, now)
	}
}

// apply uses a finding of another host, unless streams of this host show that it is wrong.
// That an engine is full does not contradict that its streams go on.
func (u *usageExchange) apply(from usage.HostID, f usage.Finding, now time.Time) {
	r, listed := u.engine(f.Engine)
	if f.Kind == usage.Down && listed && u.progress.HasRecentEvent(r.Address, ownEventWindow, now) {
		u.host.meter.UsageFinding("ignored")
		u.logFinding(from, f, r, "ignored, as streams of this host get events through the engine", now)
		return
	}
	u.table.Apply(from, f, now)
	u.host.meter.UsageFinding(f.Kind.String())
	u.logFinding(from, f, r, "applied", now)
}

// engine returns the listed engine with an ID.
func (u *usageExchange) engine(id usage.EngineID) (r replica.Replica, listed bool) {
	for r := range u.host.replicas.View().All() {
		if r.Accelerator != "" && usage.NewEngineID(r.Address, r.Incarnation()) == id {
			return r, true
		}
	}
	return replica.Replica{}, false
}

// logFinding logs a finding of another host, at most one in usageLogInterval.
func (u *usageExchange) logFinding(from usage.HostID, f usage.Finding, r replica.Replica, result string, now time.Time) {
	u.mu.Lock()
	omitted := u.omitted
	if now.Sub(u.loggedAt) < usageLogInterval {
		u.omitted++
		u.mu.Unlock()
		return
	}
	u.loggedAt, u.omitted = now, 0
	u.mu.Unlock()
	p, _ := lo.Find(u.host.group.members(), func(p Peer) bool { return peerID(p, 0) == from })
	u.host.log.Info("usage: finding of another host", "finding", f.Kind.String(), "result", result, "replica", r.ID, "address", r.Address,
		"peer", p.Address, "left_ms", f.Left.Milliseconds(), "omitted", omitted)
}
