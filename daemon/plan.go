package daemon

import (
	"time"

	"bulrushshed/balance"
	"bulrushshed/caller"
	"bulrushshed/claim"
	"bulrushshed/completion"
	"bulrushshed/delivery"
	"bulrushshed/directory"
	"bulrushshed/hostlog"
	"bulrushshed/route"
	"bulrushshed/rule"
)

// planner draws routes and replicas from the directory's view.
type planner struct{ d *Daemon }

var (
	_ completion.Planner   = planner{}
	_ delivery.Replicas    = planner{}
	_ caller.EntryProvider = planner{}
)

// candidates is the number of routes that are drawn for a new request. Two keep
// close to the flow's proportions, which carry the most.
const candidates = 2

// Plan returns a route, and counts it until release is called.
func (p planner) Plan(m rule.Model, pick route.Constraints) (route.Route, func(), error) {
	view := p.d.directory.View()
	if pick.Unconstrained() {
		if r := view.Draw(m, candidates, m.Objective == rule.ObjectiveRecovery, p.d.inflight.Work); r != nil {
			return *r, p.d.inflight.AddRoute(r), nil
		}
	}
	pick.OwnLoad = p.d.inflight.Snapshot()
	r, err := view.Plan(m, pick)
	if err != nil {
		return route.Route{}, nil, err
	}
	return r, p.d.inflight.AddRoute(&r), nil
}

// Suspect avoids an endpoint for a while.
func (p planner) Suspect(endpoint string, incarnation int64) {
	p.d.directory.Suspect(endpoint, incarnation, time.Now())
}

// Leaving gives an endpoint no new work, and tells the other hosts.
func (p planner) Leaving(endpoint string, incarnation int64) {
	n := directory.LeaveNotice{Host: endpoint, Incarnation: incarnation}
	if p.d.directory.MarkLeaving(n, time.Now()) {
		p.d.spreadLeave(n)
	}
}

// SuspectLink avoids the way between two endpoints for a while.
func (p planner) SuspectLink(l route.Link) { p.d.directory.SuspectLink(l, time.Now()) }

// Pick returns a replica of a service, and counts the call on it.
func (p planner) Pick(service string, tried map[string]bool) (delivery.Replica, func(), bool) {
	replicas := p.d.directory.View().Services[service]
	r, ok := balance.Pick(replicas, tried, p.d.inflight.Work, p.d.cfg.FailureDomain)
	if !ok {
		return delivery.Replica{}, nil, false
	}
	r.HonorsKeys = p.d.keeper.Current().File.Endpoint(r.Endpoint).HonorsKeys
	return r, p.d.inflight.Add(r.Endpoint), true
}

// Entries returns the addresses that callers may use, this host's first
// unless it is stopping.
func (p planner) Entries() []caller.Entry {
	var entries []caller.Entry
	if !p.d.draining.Load() {
		entries = append(entries, entry(p.d.host()))
	}
	for _, h := range p.d.directory.View().Entries {
		if h.Name != p.d.self.Host {
			entries = append(entries, entry(h))
		}
	}
	return entries
}

func entry(h hostlog.Host) caller.Entry {
	return caller.Entry{Name: h.Name, Address: h.Address, FailureDomain: h.FailureDomain}
}

// IssueKeys returns n idempotency keys whose home is this host, or none once
// it is stopping.
func (p planner) IssueKeys(n int) []string {
	keys := make([]string, 0, n)
	if p.d.draining.Load() {
		return keys
	}
	for range n {
		keys = append(keys, claim.Issue(p.d.self, time.Now()).String())
	}
	return keys
}
