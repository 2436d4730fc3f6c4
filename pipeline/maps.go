package pipeline

import (
	"slices"
	"strconv"
	"time"

	"bulrushshed/ingress"
	"bulrushshed/replica"
	"bulrushshed/route"
)

// maps are what the engines of a service hold, in one view.
type maps struct {
	revision int64
	model    *ingress.Model
	// domains are maps of one failure domain and one version of the weights,
	// those of the host's own first; whole are those of one version over all.
	domains []*domainMap
	whole   []*route.Graph
	// room is the size of each engine's KV cache, and near are the addresses
	// of those in the host's failure domain.
	room map[string]float64
	near []string
}

type domainMap struct {
	domain string
	m      *route.Graph
	// few has the engines of m that were the cheapest at a time; nil for none.
	few   *route.Graph
	fewAt time.Time
}

// mapsOf returns the maps of a view, made at its first use.
func (p *Planner) mapsOf(v *replica.View, a PathRequest) *maps {
	if known, ok := p.maps[a.Service]; ok && known.revision == v.Revision && known.model == a.Model {
		return known
	}
	known := newMaps(v, a, p.opts.FailureDomain)
	p.maps[a.Service] = known
	return known
}

func newMaps(v *replica.View, a PathRequest, domain string) *maps {
	known := &maps{revision: v.Revision, model: a.Model, room: map[string]float64{}}
	type part struct{ domain, version string }
	var parts []part
	byPart := map[part][]route.Holding{}
	byVersion := map[string][]route.Holding{}
	for _, r := range v.ByService(a.Service) {
		acc, ok := a.Model.Accelerators[r.Accelerator]
		if !ok || r.Layers.Len() <= 0 {
			continue
		}
		h := holding(r, a.Service, a.Model.LayerTime(acc))
		known.room[r.Address] = a.Model.KVCells(acc, r.Layers.Len())
		if r.FailureDomain == domain {
			known.near = append(known.near, r.Address)
		}
		at := part{domain: r.FailureDomain, version: h.Version}
		if len(byPart[at]) == 0 {
			parts = append(parts, at)
		}
		byPart[at] = append(byPart[at], h)
		byVersion[h.Version] = append(byVersion[h.Version], h)
	}
	for _, at := range parts {
		m := route.NewGraph(a.Service, at.version, a.Model.Layers, byPart[at])
		known.domains = append(known.domains, &domainMap{domain: at.domain, m: m})
	}
	slices.SortStableFunc(known.domains, func(one, other *domainMap) int {
		switch {
		case one.domain == domain && other.domain != domain:
			return -1
		case one.domain != domain && other.domain == domain:
			return 1
		}
		return 0
	})
	for version, all := range byVersion {
		known.whole = append(known.whole, route.NewGraph(a.Service, version, a.Model.Layers, all))
	}
	return known
}

func holding(r replica.Replica, model string, layerTime time.Duration) route.Holding {
	return route.Holding{
		Endpoint: r.ID, Address: r.Address, Incarnation: r.Started, FailureDomain: r.FailureDomain,
		Model: model, Version: strconv.Itoa(r.Version), Layers: r.Layers, LayerTime: layerTime, Slots: r.Slots,
	}
}
