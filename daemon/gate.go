package daemon

import (
	"context"
	"time"

	"github.com/samber/lo"

	"bulrushshed/admit"
	"bulrushshed/caller"
	"bulrushshed/completion"
	"bulrushshed/delivery"
	"bulrushshed/gossip"
	"bulrushshed/hostlog"
	"bulrushshed/peer"
	"bulrushshed/rule"
)

const (
	// servicesPool is the slot pool shared by the calls to all services.
	servicesPool = "services"
	// expectedCallTime is the expected duration of a call to a service.
	expectedCallTime = 10 * time.Millisecond
	// shareInterval is the time between two requests for shares of limits, and
	// shareTTL how long a granted share is valid.
	shareInterval = time.Second
	shareTTL      = 3 * time.Second
)

// streamsPerSlot is the number of streams admitted per slot of the engines, by
// objective. 2 and more keep all engines busy; a value close to 1 keeps the
// time per token low.
var streamsPerSlot = map[rule.Objective]float64{
	rule.ObjectiveThroughput: 3,
	rule.ObjectiveRecovery:   1.5,
}

func modelPool(name string) string { return "model/" + name }

// resizePools sets the size of each pool to this host's share of the endpoints'
// capacity.
func (d *Daemon) resizePools(context.Context) {
	now := time.Now()
	view := d.directory.View()
	entries := max(len(view.Entries), 1)
	d.gate.SetSlots(servicesPool, d.cfg.Limits.Calls, now)
	for _, m := range d.follower.Current().File.Models {
		flow := view.Flow(m.Name, view.Version(m), m.Layers)
		share := d.gate.Share(modelPool(m.Name), 1/float64(entries))
		// Rounded up, so that each host can admit at least one stream.
		slots := int(streamsPerSlot[m.Objective]*flow.Concurrency()*share) + 1
		d.gate.SetSlots(modelPool(m.Name), min(slots, d.cfg.Limits.Streams), now)
	}
}

// callGate admits calls to services according to the active rules.
type callGate struct{ d *Daemon }

var _ delivery.Gate = callGate{}

// Acquire waits for a slot for a call and returns the function that releases it.
// Its argument says whether the call ran to completion.
func (g callGate) Acquire(ctx context.Context, r delivery.Request) (func(bool), error) {
	return g.d.gate.Acquire(ctx, servicesPool, admit.Request{
		Customer: r.Customer, Priority: int(r.Class.Priority), ServiceTime: expectedCallTime, Deadline: r.Deadline,
	}, g.d.follower.Current().File, time.Now())
}

// streamGate admits completions according to the active rules.
type streamGate struct {
	*admit.Gate
	d *Daemon
}

var _ caller.Gate = streamGate{}

// Admit waits for a slot for a completion and returns the function that releases
// it. Its argument says whether the completion finished. A request is also
// admitted while no engines serve the model; it then waits for a route.
func (g streamGate) Admit(ctx context.Context, r completion.Request) (func(bool), error) {
	view := g.d.directory.View()
	flow := view.Flow(r.Model.Name, view.Version(r.Model), r.Model.Layers)
	// TokenTime holds for as many streams as flow.Concurrency. With streamsPerSlot
	// times as many, each gets its tokens that many times more slowly.
	servicePerToken := float64(flow.TokenTime()) * streamsPerSlot[r.Model.Objective]
	return g.d.gate.Acquire(ctx, modelPool(r.Model.Name), admit.Request{
		Customer: r.Customer, Priority: int(rule.PriorityNormal),
		ServiceTime: time.Duration(servicePerToken * float64(r.MaxTokens)), Deadline: r.Deadline,
	}, g.d.follower.Current().File, time.Now())
}

// shareLimits requests this host's share of each customer's rate limit and of
// each pool from the entry host that is responsible for it. All hosts compute this
// host, the owner of the limit, from the name of the customer or pool (see
// gossip.Owner). If the owner does not answer, this host uses an equal share.
func (d *Daemon) shareLimits(ctx context.Context) {
	d.allocator.Expire(time.Now())
	view := d.directory.View()
	hosts := lo.Map(view.Entries, func(h hostlog.Host, _ int) string { return h.Name })
	equalShare := 1 / float64(max(len(hosts), 1))
	demand, ended := d.demandEstimator.Update(d.gate.TakeDemand())
	for _, name := range ended {
		d.gate.SetShare(name, equalShare)
	}
	demandByOwner := map[string]map[string]float64{}
	for name, rate := range demand {
		owner := gossip.Owner(name, hosts)
		if demandByOwner[owner] == nil {
			demandByOwner[owner] = map[string]float64{}
		}
		demandByOwner[owner][name] = rate
	}
	ctx, cancel := context.WithTimeout(ctx, shareInterval)
	defer cancel()
	for owner, rates := range demandByOwner {
		granted := d.requestShares(ctx, owner, rates)
		for name := range rates {
			share := equalShare
			if g, ok := granted[name]; ok {
				share = admit.EffectiveShare(g, len(hosts))
			}
			d.gate.SetShare(name, share)
		}
	}
}

// requestShares returns the shares granted by an owner, or nil if it did not
// answer.
func (d *Daemon) requestShares(ctx context.Context, owner string, demand map[string]float64) map[string]float64 {
	request := &peer.Demand{From: d.self.Host, Rates: demand}
	if owner == d.self.Host {
		return d.grantShares(request)
	}
	address := d.peerAddress(owner)
	if address == "" {
		return nil
	}
	r, err := d.peerNode.Call(ctx, address, peer.Message{Kind: peer.KindDemand, Demand: request})
	if err != nil {
		d.log.Debug("daemon: requesting shares of limits failed; using equal shares", "peer", owner, "cause", err.Error())
	}
	return r.Shares
}

// grantShares divides the limits of the customers and pools that this host is
// responsible for.
func (d *Daemon) grantShares(request *peer.Demand) map[string]float64 {
	now := time.Now()
	return lo.MapValues(request.Rates, func(rate float64, name string) float64 {
		return d.allocator.Grant(name, request.From, rate, now)
	})
}
