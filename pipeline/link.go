package pipeline

import (
	"time"

	"github.com/samber/lo"

	"bulrushshed/ingress"
	"bulrushshed/route"
)

const (
	// maxLinkBacklog is the time for which this host's share of a link between failure
	// domains may be occupied in advance. Further paths across domains would begin late, and
	// delay the streams that use the link already.
	maxLinkBacklog = 250 * time.Millisecond
	// maxLinkWait is the time up to which a running stream that is rerouted may wait for
	// the link in addition.
	maxLinkWait = 250 * time.Millisecond
)

// domainLinks estimates how long this host's share of the links between failure domains is
// occupied by the activations of the streams that it has placed on paths across domains. A
// share is that of one of the hosts of this domain.
type domainLinks struct {
	busyUntil time.Time
}

// allows reports whether another transfer may begin, given how long it may wait beyond
// maxLinkBacklog.
func (l *domainLinks) allows(wait time.Duration, now time.Time) bool {
	return l.busyUntil.Sub(now) < maxLinkBacklog+wait
}

// occupy adds a transfer that takes the given time on one of several links, which hosts
// share.
func (l *domainLinks) occupy(transfer time.Duration, hosts, links int, now time.Time) {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(transfer * time.Duration(max(hosts, 1)) / time.Duration(max(links, 1)))
}

// crossings returns the number of links between failure domains on a route, other than those
// between two hops of old, whose activations have been sent.
func (g *serviceGraphs) crossings(r, old route.Route) (n int) {
	known := map[route.Hop]bool{}
	for _, h := range old.Hops {
		known[h] = true
	}
	for i := 1; i < len(r.Hops); i++ {
		from, to := r.Hops[i-1], r.Hops[i]
		sent := known[from] && known[to]
		if g.domains[from.Address] != g.domains[to.Address] && !sent {
			n++
		}
	}
	return n
}

// countDomains returns the number of failure domains with engines.
func (g *serviceGraphs) countDomains() int { return len(lo.Uniq(lo.Values(g.domains))) }

// crossDomainCost returns the cost of a link to another failure domain for a stream.
func crossDomainCost(m *ingress.Model, tokens int) time.Duration {
	if m == nil {
		return minCrossDomainCost
	}
	return max(m.TransferTime(tokens), minCrossDomainCost)
}

// occupyLinks counts the activations of a stream on a path across failure domains.
func (p *Planner) occupyLinks(graphs *serviceGraphs, req PathRequest, r, old route.Route, now time.Time) {
	if n := graphs.crossings(r, old); n > 0 && req.Model != nil {
		p.links.occupy(time.Duration(n)*req.Model.TransferTime(req.Tokens), p.opts.LocalHosts(), graphs.countDomains()-1, now)
	}
}
