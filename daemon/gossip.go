package daemon

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"bulrushshed/directory"
	"bulrushshed/gossip"
	"bulrushshed/hostlog"
	"bulrushshed/peer"
	"bulrushshed/publication"
	"bulrushshed/quarantine"
	"bulrushshed/rule"
)

// The keys and key prefixes of gossip items.
const (
	rulesKey          = "rules"
	leaveKeyPrefix    = "leave/"
	hostKeyPrefix     = "host/"
	unlistedKeyPrefix = "gone/"
)

const (
	// gossipFanout is the number of partners in one gossip round.
	gossipFanout = 3
	// hostItemTTL is how long a leave notice or a change of the host list is
	// gossiped. After that time, each host has read the list itself.
	hostItemTTL = 2 * time.Minute
	// rulesItemTTL is how long a rule version is gossiped. New hosts
	// request the rules themselves.
	rulesItemTTL = time.Hour
)

// gossipRules announces the active version of the rules. A host that lacks it
// requests the rules from the host that sent it the item.
func (d *Daemon) gossipRules(s publication.Snapshot) {
	d.gossipTable.Put(gossip.Item{
		Key: rulesKey, Stamp: int64(s.Rules.Version), TTLMS: rulesItemTTL.Milliseconds(),
	}, time.Now())
}

// pullRules requests the rules from a peer that has a newer version.
func (d *Daemon) pullRules(ctx context.Context, address string) {
	have := d.follower.Current().Version
	for range 2 {
		r, err := d.peerNode.Call(ctx, address, peer.Message{Kind: peer.KindRules, Have: have})
		if err != nil || r.Rules == nil {
			d.log.Debug("daemon: pulling rules failed; a later gossip round tries again", "peer", address)
			return
		}
		if r.Rules.Delta == nil {
			d.follower.Restore(r.Rules.Snapshot)
			return
		}
		if d.follower.RestoreDelta(r.Rules.Snapshot, *r.Rules.Delta) == nil {
			return
		}
		// The base of the delta is no longer the active version; request the
		// whole text.
		have = 0
	}
}

// gossipLeave announces that a host is leaving.
func (d *Daemon) gossipLeave(n directory.LeaveNotice) {
	d.log.Info("daemon: host is leaving", "host", n.Host, "incarnation", n.Incarnation)
	d.gossipTable.Put(gossip.Item{
		Key: leaveKeyPrefix + n.Host, Stamp: n.Incarnation, TTLMS: hostItemTTL.Milliseconds(),
	}, time.Now())
}

// gossipHost announces an entry of the platform's host list under the given
// item key.
func (d *Daemon) gossipHost(key string, stamp int64, h hostlog.Host) {
	body, err := cbor.Marshal(h)
	if err != nil {
		panic(err)
	}
	d.gossipTable.Put(gossip.Item{Key: key, Stamp: stamp, Value: body, TTLMS: hostItemTTL.Milliseconds()}, time.Now())
}

// gossipFinding announces a finding about what crashes replicas.
func (d *Daemon) gossipFinding(f quarantine.Finding) { d.gossipTable.Put(f.Item(), time.Now()) }

// announceLeave tells the other hosts and the platform immediately that this
// host is leaving.
func (d *Daemon) announceLeave() {
	n := directory.LeaveNotice{Host: d.self.Host, Incarnation: d.self.Incarnation}
	d.directory.MarkLeaving(n, time.Now())
	d.gossipLeave(n)
	d.announceSelf(context.Background())
	d.runGossipRound(context.Background())
}

// applyItems applies gossip items that this host did not have before. address
// is that of the host that sent them, or "" if it is unknown.
func (d *Daemon) applyItems(ctx context.Context, items []gossip.Item, address string) {
	for _, i := range items {
		switch {
		case i.Key == rulesKey:
			if rule.Version(i.Stamp) > d.follower.Current().Version && address != "" {
				d.pullRules(ctx, address)
			}
		case strings.HasPrefix(i.Key, leaveKeyPrefix):
			host := strings.TrimPrefix(i.Key, leaveKeyPrefix)
			d.directory.MarkLeaving(directory.LeaveNotice{Host: host, Incarnation: i.Stamp}, time.Now())
		case strings.HasPrefix(i.Key, hostKeyPrefix), strings.HasPrefix(i.Key, unlistedKeyPrefix):
			d.applyHostItem(i)
		default:
			d.applyFinding(i)
		}
	}
}

// applyFinding applies what another host has found about a replica or a feature of requests.
func (d *Daemon) applyFinding(i gossip.Item) {
	if d.limits.Merge(i, time.Now()) {
		return
	}
	if f, ok := quarantine.ParseItem(i); ok {
		d.quarantine.Merge(f, time.Now())
	}
}

// applyHostItem applies an entry of the platform's host list that another host
// has read.
func (d *Daemon) applyHostItem(i gossip.Item) {
	var h hostlog.Host
	if err := cbor.Unmarshal(i.Value, &h); err != nil {
		d.log.Warn("daemon: gossip item ignored, because its host entry cannot be decoded", "key", i.Key, "cause", err.Error())
		return
	}
	if strings.HasPrefix(i.Key, unlistedKeyPrefix) {
		d.directory.MarkUnlisted(h.Name, h.Incarnation, time.Now())
		return
	}
	d.directory.UpdateHost(h, time.Now())
}

// exchangeTimeoutPeriods is the timeout of a gossip round, as a multiple of the
// gossip period. It keeps a partner that hangs from delaying the next rounds.
const exchangeTimeoutPeriods = 4

// runGossipRound sends new items to a few other entry hosts, the partners of this
// round. To one of them, in turn, it also sends a digest of all items, so that
// each of the two can send what the other lacks.
func (d *Daemon) runGossipRound(ctx context.Context) {
	now := time.Now()
	period := d.cfg.Times.GossipEvery.D()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeoutPeriods*period)
	defer cancel()
	d.gossipTable.Expire(now)
	entries := lo.SliceToMap(d.directory.View().Entries, func(h hostlog.Host) (string, hostlog.Host) { return h.Name, h })
	partners := gossip.Partners(d.self.Host, lo.Keys(entries), gossipFanout, now)
	if len(partners) == 0 {
		return
	}
	d.pullNewerRules(ctx, entries[partners[0]].Peer)
	digestPartner := int(now.UnixNano()/int64(period)) % len(partners)
	var pending sync.WaitGroup
	for n, name := range partners {
		exchange := d.gossipTable.NextExchange(len(entries), now)
		if n == digestPartner {
			exchange.Digest = d.gossipTable.DigestExchange().Digest
		}
		if len(exchange.Items) > 0 || exchange.Digest != nil {
			pending.Go(func() { d.exchanger().Send(ctx, entries[name].Peer, exchange) })
		}
	}
	pending.Wait()
}

// pullNewerRules requests the rules from a peer if gossip has announced a newer
// version that could not be pulled from the host that sent the item.
func (d *Daemon) pullNewerRules(ctx context.Context, address string) {
	if i, ok := d.gossipTable.Get(rulesKey); ok && rule.Version(i.Stamp) > d.follower.Current().Version {
		d.pullRules(ctx, address)
	}
}

// exchanger returns the exchanger of the gossip table.
func (d *Daemon) exchanger() *gossip.Exchanger {
	return &gossip.Exchanger{Table: d.gossipTable, Sender: d.peerNode, Apply: d.applyItems, Log: d.log}
}

// peerAddress returns the peer address of an entry host, or "".
func (d *Daemon) peerAddress(name string) string {
	for _, h := range d.directory.View().Entries {
		if h.Name == name {
			return h.Peer
		}
	}
	return ""
}
