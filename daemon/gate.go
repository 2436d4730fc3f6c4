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
	// servicesPool is the pool of all plain services.
	servicesPool = "services"
	// callTime is the expected time of a call of a plain service.
	callTime = 10 * time.Millisecond
	// shareEvery is the time between two requests for parts of limits, and
	// shareLife how long a part counts.
	shareEvery = time.Second
	shareLife  = 3 * time.Second
)

// crowd is how many streams a place at the engines is given, by objective. Two
// and more keep all engines busy; close to one keeps tokens fast.
var crowd = map[rule.Objective]float64{
	rule.ObjectiveThroughput: 3,
	rule.ObjectiveRecovery:   1.5,
}

func modelPool(name string) string { return "model/" + name }

// sizePools sets the places of each pool to this host's part of what the
// endpoints can use.
func (d *Daemon) sizePools(context.Context) {
	now := time.Now()
	view := d.directory.View()
	entries := max(len(view.Entries), 1)
	d.gate.SetSlots(servicesPool, d.cfg.Limits.Calls, now)
	for _, m := range d.keeper.Current().File.Models {
		flow := view.Flow(m.Name, view.Version(m), m.Layers)
		part := d.gate.Share(modelPool(m.Name), 1/float64(entries))
		places := int(crowd[m.Objective]*flow.Concurrency()*part) + 1
		d.gate.SetSlots(modelPool(m.Name), min(places, d.cfg.Limits.Streams), now)
	}
}

// callGate admits calls of plain services by the rules in force.
type callGate struct{ d *Daemon }

var _ delivery.Gate = callGate{}

// Acquire waits for a place for a call.
func (g callGate) Acquire(ctx context.Context, r delivery.Request) (func(bool), error) {
	return g.d.gate.Acquire(ctx, servicesPool, admit.Request{
		Customer: r.Customer, Priority: int(r.Class.Priority), Service: callTime, Deadline: r.Deadline,
	}, g.d.keeper.Current().File, time.Now())
}

// streamGate admits completions by the rules in force.
type streamGate struct {
	*admit.Gate
	d *Daemon
}

var _ caller.Gate = streamGate{}

// Admit waits for a place for a completion. While no engines serve the model,
// it is let in to wait for a route.
func (g streamGate) Admit(ctx context.Context, r completion.Request) (func(bool), error) {
	view := g.d.directory.View()
	flow := view.Flow(r.Model.Name, view.Version(r.Model), r.Model.Layers)
	perToken := float64(flow.TokenTime()) * crowd[r.Model.Objective]
	return g.d.gate.Acquire(ctx, modelPool(r.Model.Name), admit.Request{
		Customer: r.Customer, Priority: int(rule.PriorityNormal),
		Service: time.Duration(perToken * float64(r.MaxTokens)), Deadline: r.Deadline,
	}, g.d.keeper.Current().File, time.Now())
}

// shareLimits asks the host that is responsible for each customer, and for each
// pool, for this host's part of the limit or of the places. While that does not
// answer, each host has an equal part.
func (d *Daemon) shareLimits(ctx context.Context) {
	d.broker.Expire(time.Now())
	view := d.directory.View()
	names := lo.Map(view.Entries, func(h hostlog.Host, _ int) string { return h.Name })
	equal := 1 / float64(max(len(names), 1))
	demand, ended := d.sharer.Update(d.gate.Demand())
	for _, name := range ended {
		d.gate.SetShare(name, equal)
	}
	byHome := map[string]map[string]float64{}
	for name, rate := range demand {
		home := gossip.Home(name, names)
		if byHome[home] == nil {
			byHome[home] = map[string]float64{}
		}
		byHome[home][name] = rate
	}
	ctx, cancel := context.WithTimeout(ctx, shareEvery)
	defer cancel()
	for home, rates := range byHome {
		granted := d.askShares(ctx, home, rates)
		for name := range rates {
			part := equal
			if g, ok := granted[name]; ok {
				part = admit.EffectiveShare(g, len(names))
			}
			d.gate.SetShare(name, part)
		}
	}
}

func (d *Daemon) askShares(ctx context.Context, home string, demand map[string]float64) map[string]float64 {
	ask := &peer.Demand{From: d.self.Host, Rates: demand}
	if home == d.self.Host {
		return d.grant(ask)
	}
	address := d.peerAddress(home)
	if address == "" {
		return nil
	}
	r, err := d.node.Call(ctx, address, peer.Message{Kind: peer.KindDemand, Demand: ask})
	if err != nil {
		d.log.Debug("daemon: no part of limits", "peer", home, "cause", err.Error())
	}
	return r.Shares
}

// grant answers for the customers and pools that this host is responsible for.
func (d *Daemon) grant(ask *peer.Demand) map[string]float64 {
	now := time.Now()
	return lo.MapValues(ask.Rates, func(rate float64, name string) float64 {
		return d.broker.Grant(name, ask.From, rate, now)
	})
}
