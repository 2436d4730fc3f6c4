package hosted

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"bulrushshed/gossip"
	"bulrushshed/loop"
	"bulrushshed/quarantine"
)

const (
	// gossipFanout is the number of hosts to which each host sends new items, and
	// gossipRoundDelay the pause after which it sends those that it still has to
	// pass on.
	gossipFanout     = 6
	gossipRoundDelay = 25 * time.Millisecond
	// digestInterval is the interval at which a host that has items compares them
	// with another one.
	digestInterval = 3 * time.Second
	// startupInterval is the interval at which a host that has just started asks others
	// for their findings until one replies, for at most startupTimeout. startupWait is
	// how long its first requests wait for the reply.
	startupInterval = 100 * time.Millisecond
	startupTimeout  = 5 * time.Second
	startupWait     = 400 * time.Millisecond
	// exchangeTimeout bounds one exchange. It leaves time to set up a connection.
	exchangeTimeout = 800 * time.Millisecond
	// maxExchangeBytes limits the items in one exchange. A host passes each item on
	// retransmitFactor times the logarithm of the number of hosts.
	maxExchangeBytes = 16 << 10
	retransmitFactor = 2
)

// findings shares what crashes replicas, and what replicas say of themselves, among the hosts. It sends new ones at
// once; hosts that missed them get them when digests are compared.
type findings struct {
	host  *Host
	table *gossip.Table
	store *findingStore
	// added signals that the table may have items to pass on.
	added chan struct{}
	// sends counts the exchanges that are running.
	sends sync.WaitGroup
	// replied is set once another host has replied to an exchange with all that this host
	// lacked. known is closed then, or when requests no longer wait for that.
	replied   atomic.Bool
	known     chan struct{}
	closeOnce sync.Once
}

func newFindings(h *Host) *findings {
	table := gossip.NewTable(gossip.Options{Self: h.group.memberName, MaxBytes: maxExchangeBytes, RetransmitFactor: retransmitFactor})
	return &findings{
		host: h, table: table, store: newFindingStore(h, table),
		added: make(chan struct{}, 1), known: make(chan struct{}),
	}
}

// markKnown lets the requests pass that wait for the findings of other hosts.
func (f *findings) markKnown() { f.closeOnce.Do(func() { close(f.known) }) }

// publish sends a finding of this host to the others.
func (f *findings) publish(finding quarantine.Finding) {
	f.table.Put(finding.Item(), time.Now())
	f.store.add(finding)
	f.signal()
}

func (f *findings) signal() {
	select {
	case f.added <- struct{}{}:
	default:
	}
}

func (f *findings) exchanger() *gossip.Exchanger {
	return &gossip.Exchanger{Table: f.table, Sender: f.host.feed.node, Apply: f.apply, Log: f.host.log}
}

// apply records findings of other hosts and passes them on.
func (f *findings) apply(_ context.Context, items []gossip.Item, _ string) {
	now := time.Now()
	for _, i := range items {
		if i.Key == configKey || isLoadReport(i) || (replicaStates{f.host}).merge(i, now) {
			continue
		}
		finding, ok := quarantine.ParseItem(i)
		if !ok {
			f.host.log.Warn("gossip: unknown item ignored", "key", i.Key)
			continue
		}
		f.host.quarantine.Merge(finding, now)
	}
	if len(items) > 0 {
		f.signal()
	}
}

// run shares findings until ctx ends. A host that has just started first asks others for
// theirs.
func (f *findings) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer func() { done <- nil }()
		defer f.sends.Wait()
		f.readStore(ctx)
		f.catchUp(ctx)
		ticker := time.NewTicker(digestInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			select {
			case <-f.added:
				f.passOn(ctx)
			case now := <-ticker.C:
				f.table.Expire(now)
				f.renewConfigItem()
				if f.table.Len() > 0 {
					f.compareDigests(ctx, 1)
				}
			case <-ctx.Done():
			}
		}
	}()
	return done
}

// readStore merges the findings in the store.
func (f *findings) readStore(ctx context.Context) {
	items, err := f.store.read()
	if err != nil {
		f.host.log.Info("gossip: reading findings from the store failed, asking other hosts only", "cause", err.Error())
		return
	}
	f.host.log.Info("gossip: findings read from the store", "items", len(items))
	f.apply(ctx, f.table.Merge(items, time.Now()), "")
	f.markKnown()
}

// catchUp asks other hosts for their findings until one of them has replied with all that
// this host lacks. They do not accept this host before they know that it is a member.
func (f *findings) catchUp(ctx context.Context) {
	select {
	case <-f.host.group.joined:
	case <-ctx.Done():
	}
	defer f.markKnown()
	defer time.AfterFunc(startupWait, f.markKnown).Stop()
	started := time.Now()
	for end := time.Now().Add(startupTimeout); !f.replied.Load() && time.Now().Before(end) && ctx.Err() == nil; {
		f.compareDigests(ctx, gossipFanout)
		loop.SleepContext(ctx, startupInterval)
	}
	f.host.log.Info("gossip: findings of other hosts requested", "replied", f.replied.Load(), "took_ms", time.Since(started).Milliseconds(), "items", f.table.Len())
}

// partners returns the addresses of the hosts that this one exchanges with, and the
// number of all hosts.
func (f *findings) partners(now time.Time) (addresses []string, hosts int) {
	members := lo.SliceToMap(f.host.group.members(), func(p Peer) (string, string) { return p.Name, p.PeerAddress })
	names := gossip.Partners(f.host.group.memberName, lo.Keys(members), gossipFanout, now)
	return lo.Map(names, func(name string, _ int) string { return members[name] }), len(members)
}

// passOn sends items to the partners until none is left to be passed on.
func (f *findings) passOn(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		addresses, hosts := f.partners(now)
		exchanges := map[string]gossip.Exchange{}
		for _, address := range addresses {
			if x := f.table.NextExchange(hosts, now); len(x.Items) > 0 {
				exchanges[address] = x
			}
		}
		if len(exchanges) == 0 {
			return
		}
		f.send(ctx, exchanges)
		loop.SleepContext(ctx, gossipRoundDelay)
	}
}

// compareDigests compares digests with up to n partners, which are different ones each
// time.
func (f *findings) compareDigests(ctx context.Context, n int) {
	now := time.Now()
	addresses, _ := f.partners(now)
	if len(addresses) == 0 {
		return
	}
	first := int(now.UnixNano() / int64(digestInterval) % int64(len(addresses)))
	exchanges := map[string]gossip.Exchange{}
	for i := range min(n, len(addresses)) {
		exchanges[addresses[(first+i)%len(addresses)]] = f.table.DigestExchange()
	}
	f.send(ctx, exchanges)
}

// send starts to send each exchange to the host at its address. A host that does not
// answer must not delay the items for the others.
func (f *findings) send(ctx context.Context, exchanges map[string]gossip.Exchange) {
	for address, x := range exchanges {
		f.sends.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			if f.exchanger().Send(ctx, address, x) {
				f.replied.Store(true)
				f.markKnown()
			}
		})
	}
}
