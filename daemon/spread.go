package daemon

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/samber/lo"

	"bulrushshed/directory"
	"bulrushshed/gossip"
	"bulrushshed/peer"
	"bulrushshed/platform"
	"bulrushshed/publication"
)

// The keys of gossip items.
const (
	itemRules  = "rules"
	itemLeaves = "leave/"
)

const (
	// fanout is the number of partners of a host.
	fanout = 3
	// leaveLife is how long news of a leave is passed on; the platform's
	// list shows it by then.
	leaveLife = 2 * time.Minute
	// rulesLife is how long a rule file is passed on; each host renews its
	// own copy.
	rulesLife = time.Hour
)

// spreadRules passes on a rule file that came in force here.
func (d *Daemon) spreadRules(s publication.Snapshot) {
	body, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	d.items.Put(gossip.Item{
		Key: itemRules, Stamp: int64(s.Rules.Version), Value: body, LifeMS: rulesLife.Milliseconds(),
	}, time.Now())
}

// spreadLeave passes on that a host leaves.
func (d *Daemon) spreadLeave(n directory.Leaving) {
	d.log.Info("daemon: host leaves", "host", n.Host, "incarnation", n.Incarnation)
	d.items.Put(gossip.Item{
		Key: itemLeaves + n.Host, Stamp: n.Incarnation, LifeMS: leaveLife.Milliseconds(),
	}, time.Now())
}

// tellLeaving spreads that this host leaves, at once.
func (d *Daemon) tellLeaving() {
	n := directory.Leaving{Host: d.self.Host, Incarnation: d.self.Incarnation}
	d.directory.Leave(n, time.Now())
	d.spreadLeave(n)
	d.announce(context.Background())
	d.exchange(context.Background())
}

// learn acts on items that were new here.
func (d *Daemon) learn(items []gossip.Item) {
	for _, i := range items {
		switch {
		case i.Key == itemRules:
			var s publication.Snapshot
			if err := json.Unmarshal(i.Value, &s); err != nil {
				d.log.Warn("daemon: unreadable rules item", "cause", err.Error())
				continue
			}
			d.keeper.Restore(s)
		case strings.HasPrefix(i.Key, itemLeaves):
			host := strings.TrimPrefix(i.Key, itemLeaves)
			d.directory.Leave(directory.Leaving{Host: host, Incarnation: i.Stamp}, time.Now())
		}
	}
}

// exchange tells the partners what is new, and compares digests with one.
func (d *Daemon) exchange(ctx context.Context) {
	now := time.Now()
	d.items.Expire(now)
	entries := lo.SliceToMap(d.directory.View().Entries, func(h platform.Host) (string, platform.Host) { return h.Name, h })
	partners := gossip.Partners(d.self.Host, lo.Keys(entries), fanout, now)
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Times.Peer.D())
	defer cancel()
	done := make(chan struct{}, len(partners))
	for n, name := range partners {
		x := d.items.News(len(entries))
		compare := n == int(now.UnixNano()/int64(d.cfg.Times.GossipEvery))%len(partners)
		if compare {
			digest := d.items.Compare().Digest
			x.Digest = digest
		}
		if len(x.Items) == 0 && !compare {
			done <- struct{}{}
			continue
		}
		go func() {
			defer func() { done <- struct{}{} }()
			d.exchangeWith(ctx, entries[name].Peer, x)
		}()
	}
	for range partners {
		<-done
	}
}

// exchangeWith tells one partner, and learns what it has that is missing here.
func (d *Daemon) exchangeWith(ctx context.Context, address string, x gossip.Exchange) {
	r, err := d.node.Call(ctx, address, peer.Message{Kind: peer.KindExchange, Exchange: &x})
	if err != nil {
		d.log.Debug("daemon: exchange failed", "peer", address, "cause", err.Error())
		return
	}
	if r.Exchange == nil {
		return
	}
	d.learn(d.items.Merge(r.Exchange.Items, time.Now()))
	if r.Exchange.Digest == nil {
		return
	}
	// The partner lacks something, too.
	back := d.items.Differing(*r.Exchange.Digest)
	if _, err := d.node.Call(ctx, address, peer.Message{Kind: peer.KindExchange, Exchange: &back}); err != nil {
		d.log.Debug("daemon: exchange failed", "peer", address, "cause", err.Error())
	}
}

// answerExchange merges a partner's items and returns what it lacks.
func (d *Daemon) answerExchange(x gossip.Exchange) *gossip.Exchange {
	d.learn(d.items.Merge(x.Items, time.Now()))
	if x.Digest == nil {
		return nil
	}
	own := d.items.Compare()
	if *own.Digest == *x.Digest {
		return nil
	}
	reply := d.items.Differing(*x.Digest)
	reply.Digest = own.Digest
	return &reply
}
