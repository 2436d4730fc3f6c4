package pipeline

import (
	"slices"
	"strconv"
	"time"

	"bulrushshed/ingress"
	"bulrushshed/replica"
	"bulrushshed/route"
	"bulrushshed/usage"
)

// serviceGraphs are the layer graphs of one service, built from one view of the
// replicas.
type serviceGraphs struct {
	revision int64
	model    *ingress.Model
	// byDomain has one graph per failure domain and version of the weights, with
	// the host's own domain first; byVersion has one graph per version over all
	// domains.
	byDomain  []*domainGraph
	byVersion []*route.Graph
	// capacity is the size of each engine's KV cache, in cells, by address. local
	// has the addresses of the engines in the host's failure domain.
	capacity map[string]float64
	local    []string
	// ids has the IDs of the engines in the reports of hosts, by address.
	ids map[string]usage.EngineID
	// layerTime is the time that each engine takes for one token in one layer, by address.
	layerTime map[string]time.Duration
	// domains has the failure domain of each engine, by address.
	domains map[string]string
}

type domainGraph struct {
	domain string
	graph  *route.Graph
	// pruned has only the engines of graph that were the cheapest for some layer
	// at prunedAt; nil if it has not been built.
	pruned   *route.Graph
	prunedAt time.Time
}

// graphsFor returns the graphs of a service in a view, building them on first use.
func (p *Planner) graphsFor(v *replica.View, req PathRequest) *serviceGraphs {
	if graphs, ok := p.graphs[req.Service]; ok && graphs.revision == v.Revision && graphs.model == req.Model {
		return graphs
	}
	graphs := newServiceGraphs(v, req, p.opts.FailureDomain)
	p.graphs[req.Service] = graphs
	return graphs
}

func newServiceGraphs(v *replica.View, req PathRequest, domain string) *serviceGraphs {
	graphs := &serviceGraphs{revision: v.Revision, model: req.Model, capacity: map[string]float64{}, ids: map[string]usage.EngineID{}, layerTime: map[string]time.Duration{}, domains: map[string]string{}}
	type domainVersion struct{ domain, version string }
	var keys []domainVersion
	byKey := map[domainVersion][]route.Holding{}
	byVersion := map[string][]route.Holding{}
	for _, r := range v.ByService(req.Service) {
		acc, ok := req.Model.Accelerators[r.Accelerator]
		if !ok || r.Layers.Len() <= 0 {
			continue
		}
		h := holding(r, req.Service, req.Model.LayerTime(acc))
		graphs.domains[r.Address] = r.FailureDomain
		graphs.layerTime[r.Address] = h.LayerTime
		graphs.ids[r.Address] = usage.NewEngineID(r.Address, r.Incarnation())
		graphs.capacity[r.Address] = req.Model.KVCells(acc, r.Layers.Len())
		if r.FailureDomain == domain {
			graphs.local = append(graphs.local, r.Address)
		}
		key := domainVersion{domain: r.FailureDomain, version: h.Version}
		if len(byKey[key]) == 0 {
			keys = append(keys, key)
		}
		byKey[key] = append(byKey[key], h)
		byVersion[h.Version] = append(byVersion[h.Version], h)
	}
	for _, key := range keys {
		g := route.NewGraph(req.Service, key.version, req.Model.Layers, byKey[key])
		graphs.byDomain = append(graphs.byDomain, &domainGraph{domain: key.domain, graph: g})
	}
	slices.SortStableFunc(graphs.byDomain, func(one, other *domainGraph) int {
		switch {
		case one.domain == domain && other.domain != domain:
			return -1
		case one.domain != domain && other.domain == domain:
			return 1
		}
		return 0
	})
	for version, all := range byVersion {
		graphs.byVersion = append(graphs.byVersion, route.NewGraph(req.Service, version, req.Model.Layers, all))
	}
	return graphs
}

// holding describes an engine for package route, which calls engines endpoints.
func holding(r replica.Replica, model string, layerTime time.Duration) route.Holding {
	return route.Holding{
		Endpoint: r.ID, Address: r.Address, Incarnation: r.Started, FailureDomain: r.FailureDomain,
		Model: model, Version: strconv.Itoa(r.Version), Layers: r.Layers, LayerTime: layerTime, Slots: r.Slots,
	}
}
