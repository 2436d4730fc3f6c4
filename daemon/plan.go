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

// planner selects routes for completions, replicas for calls and entry hosts for
// callers, all from the directory's current view.
type planner struct{ d *Daemon }

var (
	_ completion.Planner   = planner{}
	_ delivery.Replicas    = planner{}
	_ caller.EntryProvider = planner{}
)

// routeCandidates is the number of routes drawn for a new request, of which the
// fastest is used. 2 keeps the load close to the proportions of the flow, which
// give the highest throughput.
const routeCandidates = 2

// Plan returns a route and counts the stream on its endpoints until the returned
// function is called.
func (p planner) Plan(m rule.Model, constraints route.Constraints) (route.Route, func(), error) {
	view := p.d.directory.View()
	// New requests are spread over the routes in proportion to the flow. If no route
	// can be drawn, or the request has constraints, such as an endpoint to avoid, the
	// best route is computed for it.
	if constraints.Unconstrained() {
		if r := view.Draw(m, routeCandidates, m.Objective == rule.ObjectiveRecovery, p.d.inflight.Work); r != nil {
			return *r, p.d.inflight.AddRoute(r), nil
		}
	}
	constraints.OwnLoad = p.d.inflight.Snapshot()
	r, err := view.Plan(m, constraints)
	if err != nil {
		return route.Route{}, nil, err
	}
	return r, p.d.inflight.AddRoute(&r), nil
}

// Suspect marks an endpoint as suspected, so that it is avoided for a while.
func (p planner) Suspect(endpoint string, incarnation int64) {
	p.d.directory.Suspect(endpoint, incarnation, time.Now())
}

// MarkLeaving marks an endpoint as leaving, so that it gets no new work, and
// gossips that to the other hosts.
func (p planner) MarkLeaving(endpoint string, incarnation int64) {
	n := directory.LeaveNotice{Host: endpoint, Incarnation: incarnation}
	if p.d.directory.MarkLeaving(n, time.Now()) {
		p.d.gossipLeave(n)
	}
}

// SuspectLink marks the link between two endpoints as suspected, so that it is
// avoided for a while.
func (p planner) SuspectLink(l route.Link) { p.d.directory.SuspectLink(l, time.Now()) }

// Pick returns a replica of a service that is not in tried, and counts the call
// on it until the returned function is called.
func (p planner) Pick(service string, tried map[string]bool) (delivery.Replica, func(), bool) {
	replicas := p.d.directory.View().Services[service]
	r, ok := balance.Pick(replicas, tried, p.d.inflight.Work, p.d.cfg.FailureDomain)
	if !ok {
		return delivery.Replica{}, nil, false
	}
	r.HonorsKeys = p.d.follower.Current().File.Endpoint(r.Endpoint).HonorsKeys
	return r, p.d.inflight.Add(r.Endpoint), true
}

// Entries returns the entry hosts that callers may use. This host is the first
// one; while it is draining, it is left out.
func (p planner) Entries() []caller.Entry {
	var entries []caller.Entry
	if !p.d.draining.Load() {
		entries = append(entries, callerEntry(p.d.ownHostRecord()))
	}
	for _, h := range p.d.directory.View().Entries {
		if h.Name != p.d.self.Host {
			entries = append(entries, callerEntry(h))
		}
	}
	return entries
}

func callerEntry(h hostlog.Host) caller.Entry {
	return caller.Entry{Name: h.Name, Address: h.Address, FailureDomain: h.FailureDomain}
}

// IssueKeys returns n idempotency keys whose home is this host, or none if it
// is draining.
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
